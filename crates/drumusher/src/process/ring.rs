//! Bounded channels between threads that allocate only for the messages they hold. Metrics call them rings.
//!
//! The bounded channels of the channel libraries allocate their whole capacity at once. With messages of some hundred
//! bytes and the capacity that a burst at the design size needs, that was most of an idle instance's memory. So these
//! are unbounded channels whose length is checked before each send. The capacity may be exceeded by as many messages as
//! there are threads that send at the same moment.

/// The sending end of a ring whose receiver is a thread.
#[derive(Debug)]
pub struct Sender<T> {
    inner: crossbeam_channel::Sender<T>,
    capacity: usize,
}

/// The receiving end of a ring whose receiver is a thread.
pub type Receiver<T> = crossbeam_channel::Receiver<T>;

/// The sending end of a ring whose receiver is a task.
#[derive(Debug)]
pub struct TaskSender<T> {
    inner: async_channel::Sender<T>,
    capacity: usize,
}

/// The receiving end of a ring whose receiver is a task.
pub type TaskReceiver<T> = async_channel::Receiver<T>;

/// Creates a ring to a thread with a capacity in messages.
pub fn to_thread<T>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (inner, receiver) = crossbeam_channel::unbounded();
    (Sender { inner, capacity }, receiver)
}

/// Creates a ring to a task with a capacity in messages.
pub fn to_task<T>(capacity: usize) -> (TaskSender<T>, TaskReceiver<T>) {
    let (inner, receiver) = async_channel::unbounded();
    (TaskSender { inner, capacity }, receiver)
}

impl<T> Sender<T> {
    /// Sends a message unless the ring is full or its receiver was dropped.
    ///
    /// # Errors
    ///
    /// Returns the message.
    pub fn try_send(&self, message: T) -> Result<(), T> {
        if self.inner.len() >= self.capacity {
            return Err(message);
        }
        self.inner.send(message).map_err(|error| error.into_inner())
    }
}

impl<T> TaskSender<T> {
    /// Sends a message unless the ring is full or its receiver was dropped.
    ///
    /// # Errors
    ///
    /// Returns the message.
    pub fn try_send(&self, message: T) -> Result<(), T> {
        if self.inner.len() >= self.capacity {
            return Err(message);
        }
        self.send(message)
    }

    /// Sends a message even if the ring is full, unless its receiver was dropped.
    ///
    /// # Errors
    ///
    /// Returns the message.
    pub fn send(&self, message: T) -> Result<(), T> {
        self.inner.try_send(message).map_err(|error| error.into_inner())
    }
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Self {
        Sender { inner: self.inner.clone(), capacity: self.capacity }
    }
}

impl<T> Clone for TaskSender<T> {
    fn clone(&self) -> Self {
        TaskSender { inner: self.inner.clone(), capacity: self.capacity }
    }
}
