//! TCP client of the other controllers.

use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;

use quartzlever_wire::CallError;
use quartzlever_wire::peers::{self, PeerAnswer, PeerRequest};

use crate::policy::CallPolicy;

/// Calls peers over TCP and keeps one idle connection to each.
#[derive(Debug, Default)]
pub struct PeerClient {
    idle: Mutex<HashMap<SocketAddr, TcpStream>>,
}

impl PeerClient {
    /// Sends a request to a peer and waits for the answer.
    ///
    /// # Errors
    /// [`CallError::Refused`] if no connection can be made, otherwise [`CallError::Unknown`]. If the
    /// request was sent over the idle connection before the new one failed, it may have been carried
    /// out in spite of [`CallError::Refused`].
    pub fn call(&self, peer: SocketAddr, request: &PeerRequest) -> Result<PeerAnswer, CallError> {
        let pooled = self.idle.lock().unwrap_or_else(|e| e.into_inner()).remove(&peer);
        // The peer may have closed the idle connection since its last use; the request is then
        // sent again over a new one. After a timeout the request is not sent again.
        if let Some(mut stream) = pooled
            && peers::send(&mut stream, request).is_ok()
        {
            match peers::receive(&mut stream) {
                Ok(answer) => {
                    self.keep_idle(peer, stream);
                    return Ok(answer);
                }
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(CallError::Unknown);
                }
                Err(_) => {}
            }
        }
        let mut stream = connect(peer).map_err(|_| CallError::Refused)?;
        peers::send(&mut stream, request).map_err(|_| CallError::Unknown)?;
        let answer = peers::receive(&mut stream).map_err(|_| CallError::Unknown)?;
        self.keep_idle(peer, stream);
        Ok(answer)
    }

    fn keep_idle(&self, peer: SocketAddr, stream: TcpStream) {
        self.idle.lock().unwrap_or_else(|e| e.into_inner()).insert(peer, stream);
    }
}

fn connect(peer: SocketAddr) -> io::Result<TcpStream> {
    let CallPolicy { connect_timeout, timeout, .. } = CallPolicy::PEER;
    let stream = TcpStream::connect_timeout(&peer, connect_timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
