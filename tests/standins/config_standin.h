#pragma once

#include <cstdint>
#include <memory>

namespace dragonflymill::standins {

/// How the configuration service's stand-in runs.
struct config_standin_settings
{
    std::uint16_t port = 0;      ///< 0 takes a free one.
    std::int64_t budget = 2'000; ///< Reads a second across all readers; each watch is one.
};

/// The platform's configuration service: read and watched by the system, written only by the operator's side
/// (`POST /_operator/{key}`), which the system never calls.
class config_standin
{
public:
    /// Starts listening.
    explicit config_standin(const config_standin_settings& settings);
    config_standin(const config_standin&) = delete;
    auto operator=(const config_standin&) -> config_standin& = delete;
    ~config_standin();

    /// Port on 127.0.0.1.
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace dragonflymill::standins
