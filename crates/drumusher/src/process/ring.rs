//! Bounded rings between threads whose memory follows their use.
//!
//! A ring of a channel library that is bounded sets all its places aside at once; with messages of
//! some hundred bytes and bounds that a burst at the size to design for needs, that was most of an
//! idle instance's memory. These count what waits instead. The count may be exceeded by as many
//! messages as there are threads that send at the same moment.

/// The sending end of a ring whose receiver is a thread.
#[derive(Debug)]
pub struct Sender<T> {
    inner: crossbeam_channel::Sender<T>,
    most: usize,
}

/// The receiving end of a ring whose receiver is a thread.
pub type Receiver<T> = crossbeam_channel::Receiver<T>;

/// The sending end of a ring whose receiver is a task.
#[derive(Debug)]
pub struct TaskSender<T> {
    inner: async_channel::Sender<T>,
    most: usize,
}

/// The receiving end of a ring whose receiver is a task.
pub type TaskReceiver<T> = async_channel::Receiver<T>;

/// A ring to a thread, in which at most `most` messages wait.
pub fn to_thread<T>(most: usize) -> (Sender<T>, Receiver<T>) {
    let (inner, receiver) = crossbeam_channel::unbounded();
    (Sender { inner, most }, receiver)
}

/// A ring to a task, in which at most `most` messages wait.
pub fn to_task<T>(most: usize) -> (TaskSender<T>, TaskReceiver<T>) {
    let (inner, receiver) = async_channel::unbounded();
    (TaskSender { inner, most }, receiver)
}

impl<T> Sender<T> {
    /// Sends a message unless the ring is full or its receiver is gone.
    ///
    /// # Errors
    ///
    /// The message.
    pub fn try_send(&self, message: T) -> Result<(), T> {
        if self.inner.len() >= self.most {
            return Err(message);
        }
        self.inner.send(message).map_err(|error| error.into_inner())
    }
}

impl<T> TaskSender<T> {
    /// Sends a message unless the ring is full or its receiver is gone.
    ///
    /// # Errors
    ///
    /// The message.
    pub fn try_send(&self, message: T) -> Result<(), T> {
        if self.inner.len() >= self.most {
            return Err(message);
        }
        self.send(message)
    }

    /// Sends a message that must pass, unless the receiver is gone.
    ///
    /// # Errors
    ///
    /// The message.
    pub fn send(&self, message: T) -> Result<(), T> {
        self.inner.try_send(message).map_err(|error| error.into_inner())
    }
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Sender { inner: self.inner.clone(), most: self.most }
    }
}

impl<T> Clone for TaskSender<T> {
    fn clone(&self) -> Self {
        TaskSender { inner: self.inner.clone(), most: self.most }
    }
}
