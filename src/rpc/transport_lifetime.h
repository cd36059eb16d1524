#pragma once

namespace dragonflymill::rpc {

/// Keeps gRPC's callback queue alive until the process exits. Must be called before the first client or
/// server is created.
///
/// Guarded failure: gRPC 1.51 frees this queue twice when its last user releases it. The process aborts
/// ("prior > 0") in one graceful shutdown of six, and the address sanitizer reports a double free. A channel
/// that is never destroyed prevents this, because it keeps using the queue.
void keep_transport_alive();

} // namespace dragonflymill::rpc
