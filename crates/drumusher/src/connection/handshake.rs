//! The exchange by which both sides prove that they know the fleet secret.

use std::sync::Arc;

use drumusher_platform::tcp;
use drumusher_wire::{
    auth::{self, Side},
    peer::{Challenge, Hello, Message, Proof},
};
use ntex::{
    SharedCfg,
    io::Io,
    time::{Millis, timeout},
    util::Either,
};

use super::{Codec, Error};

/// Longest time the whole exchange may take.
const LONGEST: Millis = Millis(1_000);
/// Longest time to connect.
const CONNECT: Millis = Millis(300);

/// Accepts: proves itself first, then has the other side prove itself. Returns the other's name.
///
/// # Errors
///
/// Any [`Error`]; the connection is then to be closed.
pub async fn accept(io: &Io, name: &str, secret: &[u8]) -> Result<Arc<str>, Error> {
    within(LONGEST, async {
        let Message::Hello(hello) = receive(io).await? else {
            return Err(Error::Refused);
        };
        let nonce = nonce();
        let proof = auth::proof(secret, Side::Accepting, &hello.nonce, name);
        let challenge = Challenge::new(name.to_string(), nonce.clone(), proof);
        send(io, Message::Challenge(challenge)).await?;
        let Message::Proof(proof) = receive(io).await? else {
            return Err(Error::Refused);
        };
        let right = auth::verify(secret, Side::Connecting, &nonce, &hello.instance, &proof.proof);
        if right { Ok(hello.instance.as_str().into()) } else { Err(Error::Refused) }
    })
    .await
}

/// Connects to the instance `to` at `address` and proves itself.
///
/// # Errors
///
/// Any [`Error`].
pub async fn connect(
    address: &str,
    to: Option<&str>,
    name: &str,
    zone: &str,
    secret: &[u8],
) -> Result<(Io, Arc<str>), Error> {
    let address = address.parse().map_err(|_| Error::Closed)?;
    let config = SharedCfg::new("peer").build();
    let io = tcp::connect(address, CONNECT, config).await.map_err(Error::Io)?;
    let other = within(LONGEST, prove(&io, name, zone, secret)).await?;
    let expected = to.is_none_or(|to| to == &*other);
    if expected { Ok((io, other)) } else { Err(Error::Refused) }
}

async fn prove(io: &Io, name: &str, zone: &str, secret: &[u8]) -> Result<Arc<str>, Error> {
    let nonce = nonce();
    let hello = Hello::new(name.to_string(), zone.to_string(), nonce.clone());
    send(io, Message::Hello(hello)).await?;
    let Message::Challenge(challenge) = receive(io).await? else {
        return Err(Error::Refused);
    };
    let instance = challenge.instance;
    if !auth::verify(secret, Side::Accepting, &nonce, &instance, &challenge.proof) {
        return Err(Error::Refused);
    }
    let proof = auth::proof(secret, Side::Connecting, &challenge.nonce, name);
    send(io, Message::Proof(Proof::new(proof))).await?;
    Ok(instance.as_str().into())
}

async fn within<T>(
    limit: Millis,
    future: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    timeout(limit, future).await.unwrap_or(Err(Error::Timeout))
}

async fn receive(io: &Io) -> Result<Message, Error> {
    match io.recv(&Codec).await {
        Ok(Some(message)) => Ok(message),
        Ok(None) => Err(Error::Closed),
        Err(Either::Left(error)) => Err(Error::Frame(error)),
        Err(Either::Right(error)) => Err(Error::Io(error)),
    }
}

async fn send(io: &Io, message: Message) -> Result<(), Error> {
    io.send(message, &Codec).await.map_err(|error| match error {
        Either::Left(error) => Error::Frame(error),
        Either::Right(error) => Error::Io(error),
    })
}

fn nonce() -> Vec<u8> {
    rand::random::<[u8; auth::NONCE_BYTES]>().to_vec()
}
