//! What a runner says of itself in the head of an answer.

/// What the head of one answer says of the runner that gave it, whatever becomes of the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunnerNotice {
    /// It is about to leave.
    pub leaving: bool,
    /// It wants no request from this node for so long, microseconds; 0: it has not asked for rest.
    pub rest_us: u64,
    /// It said one of these in a form that is not known. Nothing is believed of that.
    pub malformed: bool,
}

impl RunnerNotice {
    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
