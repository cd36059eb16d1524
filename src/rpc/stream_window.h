#pragma once

namespace dragonflymill::rpc {

/// Bytes of one stream that may be under way unread. Fixed: the transport otherwise probes for it with two
/// frames each way on nearly every message, more than a heartbeat itself takes.
inline constexpr int stream_window_bytes = 1 << 20;

} // namespace dragonflymill::rpc
