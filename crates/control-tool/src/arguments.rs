//! Command-line arguments.

use std::net::SocketAddr;

xflags::xflags! {
    /// Tells the state of a running system.
    ///
    /// Exit codes: 0 all well or found, 1 a node has a problem or is unreachable, or nothing was found, 2 bad usage.
    cmd hingestage-ctl {
        /// Tell the state of every registry, store and proxy, one line each.
        cmd status {
            /// Address of any registry for traffic within the system.
            required --registry addr: SocketAddr
            /// Write everything as JSON.
            optional --json
        }
        /// Tell what became of a request, or of a tenant's recent requests.
        cmd explain {
            /// Attempt id of a request, or name of a tenant.
            required id_or_tenant: String
            /// Address of any registry for traffic within the system.
            required --registry addr: SocketAddr
        }
        /// Tell how far a tenant's trial is: at each proxy, and when each store took each step in.
        cmd trial {
            /// Name of the tenant.
            required tenant: String
            /// Address of any registry for traffic within the system.
            required --registry addr: SocketAddr
        }
    }
}
