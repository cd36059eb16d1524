#pragma once

namespace dragonflymill::rpc {

/// Flow control window of one HTTP/2 stream, in bytes. It is fixed because gRPC otherwise probes the
/// bandwidth with two frames in each direction for nearly every message, which costs more than a heartbeat
/// itself.
inline constexpr int stream_window_bytes = 1 << 20;

} // namespace dragonflymill::rpc
