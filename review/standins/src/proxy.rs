//! A proxy whose open channels can fall silent, while new ones work.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

pub struct Proxy {
    pub address: SocketAddr,
    silenced: watch::Sender<u64>,
}

impl Proxy {
    pub async fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let silenced = watch::Sender::new(0);
        let signal = silenced.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let signal = signal.subscribe();
                tokio::spawn(async move {
                    let Ok(far) = TcpStream::connect(to).await else {
                        return;
                    };
                    let _set = (near.set_nodelay(true), far.set_nodelay(true));
                    let (near_read, near_write) = near.into_split();
                    let (far_read, far_write) = far.into_split();
                    tokio::spawn(pass(near_read, far_write, signal.clone()));
                    tokio::spawn(pass(far_read, near_write, signal));
                });
            }
        });
        Ok(Self { address, silenced })
    }

    /// Silences the channels that are open now: nothing passes on them any more, in either
    /// direction, and neither end is told.
    pub fn silence_open_channels(&self) {
        self.silenced.send_modify(|n| *n += 1);
    }
}

/// Passes bytes on until the channel is silenced, and then swallows them.
async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut silenced: watch::Receiver<u64>) {
    let mut space = [0; 16_384];
    let mut silent = false;
    loop {
        let n = tokio::select! {
            biased;
            _ = silenced.changed(), if !silent => {
                silent = true;
                continue;
            }
            read = from.read(&mut space) => read.unwrap_or(0),
        };
        if n == 0 {
            if silent {
                // The other end isn't told.
                std::future::pending::<()>().await;
            }
            return;
        }
        if !silent && to.write_all(&space[..n]).await.is_err() {
            return;
        }
    }
}
