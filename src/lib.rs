//! sparlug decides, for the proxy of one calling service, where each request goes, when it waits and when it
//! is refused. It does no I/O: a host hands it [`event::Event`]s and carries out the [`event::Action`]s that
//! it returns.
//!
//! ```
//! use sparlug::event::{Action, Condition, Event, Request, Listing};
//! use sparlug::id::{BackendId, RequestId, PodId, ClassId, TenantId, ZoneId};
//! use sparlug::policy::Balancer;
//! use sparlug::settings::{Effect, Settings, Class};
//! use sparlug::time::{Span, Time};
//!
//! let class = Class::new(Span::from_ms(200.0), Span::from_ms(500.0), Effect::Safe);
//! let settings = Settings::for_classes(vec![class]);
//! let (start, mut actions) = (Time::from_ms(1000.0), Vec::new());
//! let mut balancer = Balancer::new(settings, 7, start, &mut actions);
//! let backend = BackendId { address: [10, 0, 0, 1], port: 80 };
//! let listing = Listing {
//!     backend,
//!     zone: ZoneId(0),
//!     pod: PodId(0),
//!     condition: Condition::Ready,
//!     started: None,
//!     size: 1.0,
//! };
//! balancer.handle(start, Event::ListReceived { full: true, listings: vec![listing] }, &mut actions);
//! let request = Request {
//!     id: RequestId(1),
//!     class: ClassId(0),
//!     tenant: TenantId(0),
//!     key: None,
//!     deadline: start + Span::from_ms(500.0),
//!     cost: None,
//!     complete: true,
//! };
//! balancer.handle(start, Event::RequestReceived(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Attempt { backend: b, .. } if *b == backend)));
//! ```

pub mod backend_sampler;
pub mod event;
pub mod id;
pub mod peer_message;
pub mod policy;
pub mod settings;
mod state;
pub mod stats;
pub mod time;
