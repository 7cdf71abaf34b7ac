//! Transport that tells a reset connection from a closed one.
//!
//! `ureq` takes a reset for the end of a body that has neither a length nor chunks, so that a response
//! that broke off would look complete.

use std::io;

use ureq::{
    Error,
    unversioned::transport::{
        Buffers,
        ConnectionDetails,
        Connector,
        NextTimeout,
        Transport, //
    },
};

/// Wraps the transports of the connectors before it.
#[derive(Debug)]
pub(super) struct ResetDetector;

/// Transport whose resets are errors at any point of a response.
#[derive(Debug)]
pub(super) struct ResetDetectingTransport<T> {
    inner: T,
}

impl<In> Connector<In> for ResetDetector
where
    In: Transport,
{
    type Out = ResetDetectingTransport<In>;

    fn connect(
        &self,
        _: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(|inner| ResetDetectingTransport { inner }))
    }
}

impl<T> Transport for ResetDetectingTransport<T>
where
    T: Transport,
{
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.inner
            .await_input(timeout)
            .map_err(|error| match error {
                Error::Io(error) if is_reset(&error) => Error::Io(io::Error::other(error)),
                error => error,
            })
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }

    fn is_tls(&self) -> bool {
        self.inner.is_tls()
    }
}

fn is_reset(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionReset | io::ErrorKind::ConnectionAborted
    )
}
