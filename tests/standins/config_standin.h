#pragma once

#include <cstdint>
#include <memory>

namespace dragonflymill::standins {

/// Settings of the configuration service stand-in.
struct config_standin_settings
{
    std::uint16_t port = 0;      ///< Listening port; 0 picks a free one.
    std::int64_t budget = 2'000; ///< Reads per second over all readers; a watch counts as one read.
};

/// Stand-in of the platform's configuration service. The system under test reads and watches keys; only
/// operators write them, by `POST /_operator/{key}`.
class config_standin
{
public:
    /// Starts listening on 127.0.0.1.
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
