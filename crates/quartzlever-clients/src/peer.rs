//! Client of the other controllers.

use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;

use quartzlever_wire::CallError;
use quartzlever_wire::peers::{self, PeerAnswer, PeerRequest};

use crate::policy::CallPolicy;

/// Client of all peers, with one idle connection kept for each.
#[derive(Debug, Default)]
pub struct PeerClient {
    idle: Mutex<HashMap<SocketAddr, TcpStream>>,
}

impl PeerClient {
    /// Asks a peer and waits for its answer.
    pub fn call(&self, peer: SocketAddr, request: &PeerRequest) -> Result<PeerAnswer, CallError> {
        let kept = self.idle.lock().unwrap_or_else(|e| e.into_inner()).remove(&peer);
        // A kept connection may have been closed by the other side meanwhile; then a new one is
        // tried. A peer that merely does not answer is not asked twice.
        if let Some(mut stream) = kept
            && peers::send(&mut stream, request).is_ok()
        {
            match peers::receive(&mut stream) {
                Ok(answer) => {
                    self.keep(peer, stream);
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
        self.keep(peer, stream);
        Ok(answer)
    }

    fn keep(&self, peer: SocketAddr, stream: TcpStream) {
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
