//! An unmodified PostgreSQL driver against the caller-facing side.

mod common;

use std::net::SocketAddr;

use common::{Harness, run};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

/// Runs `work` with a driver's connection, on a thread with its own runtime.
async fn drive<T: Send + 'static>(
    address: SocketAddr,
    work: impl AsyncFnOnce(Client) -> T + Send + 'static,
) -> T {
    let task = compio::runtime::spawn_blocking(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async {
            let settings = format!(
                "host={} port={} user=anna dbname=orders application_name=test",
                address.ip(),
                address.port()
            );
            let (client, connection) = tokio_postgres::connect(&settings, NoTls).await.unwrap();
            let driving = tokio::spawn(connection);
            let outcome = work(client).await;
            let _ended = driving.await;
            outcome
        })
    });
    task.await.unwrap()
}

/// Guards against messages that a driver doesn't expect, in prepared statements, transactions,
/// parameters of the proxy and errors.
#[test]
fn driver_works_unchanged() {
    run(async {
        let harness = Harness::new().await;

        drive(harness.address, async |mut client: Client| {
            let insert = client
                .prepare("INSERT INTO t VALUES ($1, $2)")
                .await
                .unwrap();
            for i in 0..3 {
                let key = format!("k{i}");
                assert_eq!(client.execute(&insert, &[&key, &"v"]).await.unwrap(), 1);
            }
            let select = client
                .prepare("SELECT v FROM t WHERE k = $1")
                .await
                .unwrap();
            let row = client.query_one(&select, &[&"k1"]).await.unwrap();
            assert_eq!(row.get::<_, &str>(0), "v");

            client
                .execute("SET goldcrestrail.max_age = 500", &[])
                .await
                .unwrap();
            let shown = client
                .query_one("SHOW goldcrestrail.max_age", &[])
                .await
                .unwrap();
            assert_eq!(shown.get::<_, &str>(0), "500");
            let shown = client
                .simple_query("SHOW goldcrestrail.token")
                .await
                .unwrap();
            let token = shown.iter().find_map(|message| match message {
                SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
                _ => None,
            });
            assert_eq!(token.as_deref(), Some("1/3"));

            let transaction = client.transaction().await.unwrap();
            transaction.execute(&insert, &[&"kt", &"w"]).await.unwrap();
            let row = transaction.query_one(&select, &[&"k1"]).await.unwrap();
            assert_eq!(row.get::<_, &str>(0), "v");
            transaction.commit().await.unwrap();

            let failed = client.execute(&insert, &[&"dup", &"v"]).await.unwrap_err();
            assert_eq!(failed.code().unwrap().code(), "23505");
            let copied = client.batch_execute("COPY t FROM STDIN").await.unwrap_err();
            assert_eq!(copied.code().unwrap().code(), "0A000");
            let row = client.query_one(&select, &[&"kt"]).await.unwrap();
            assert_eq!(row.get::<_, &str>(0), "w");
        })
        .await;

        assert_eq!(harness.fleet.dropped.get(), 0);
    });
}

/// Guards against a cancel request of the driver that has no effect.
#[test]
fn driver_cancels() {
    run(async {
        let harness = Harness::new().await;

        let code = drive(harness.address, async |client: Client| {
            let token = client.cancel_token();
            let running = client.simple_query("SELECT slow");
            let cancelling = async {
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                token.cancel_query(NoTls).await.unwrap();
            };
            let (outcome, ()) = tokio::join!(running, cancelling);
            outcome.unwrap_err().code().unwrap().code().to_owned()
        })
        .await;

        assert_eq!(code, "57014");
    });
}
