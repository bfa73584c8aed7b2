/*!
Limits that targets name in their answers, kept by all hosts together.

A target that names a limit takes so many requests a second from all hosts, for as long as its
answers say so. The host that gets such an answer records a [`Statement`] and tells other hosts, who
pass it on. Statements have versions, so that all hosts end with the same one whichever way messages
arrive. A stricter statement always counts. A more generous one counts only if it answers a request
that was sent when the host already knew the current statement, since an answer may also be older
than what is known.

Each host sends only its own [`Turns`]. A few hosts hold equal parts of the rate, chosen from the
registered hosts only, so that no message is needed for each request and hosts that cannot reach
each other still send no more than the limit between them.
*/

mod knowledge;
mod statement;
mod turns;

pub use self::{
    knowledge::{Knowledge, Learned, Source},
    statement::{Report, Statement},
    turns::{Place, Turns},
};
