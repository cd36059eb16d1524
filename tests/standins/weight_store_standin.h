#pragma once

#include "dragonflymill/core/time.h"

#include <cstdint>
#include <memory>

namespace dragonflymill::standins {

/// Settings of the weight store stand-in.
struct weight_store_standin_settings
{
    std::uint16_t port = 0;         ///< Listening port; 0 picks a free one.
    std::int64_t loads_at_once = 2; ///< Concurrent loads; further ones are refused.
    duration load_time = 500ms;     ///< Duration of one load.
    std::size_t size = 4UL << 20;   ///< Size of one model in bytes.
};

/// Stand-in of the platform's weight store. It serves a limited number of concurrent loads and answers the
/// others with 429 and `Retry-After`.
class weight_store_standin
{
public:
    /// Starts listening on 127.0.0.1.
    explicit weight_store_standin(const weight_store_standin_settings& settings);
    weight_store_standin(const weight_store_standin&) = delete;
    auto operator=(const weight_store_standin&) -> weight_store_standin& = delete;
    ~weight_store_standin();

    /// Port on 127.0.0.1.
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace dragonflymill::standins
