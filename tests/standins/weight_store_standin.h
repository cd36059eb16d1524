#pragma once

#include "dragonflymill/core/time.h"

#include <cstdint>
#include <memory>

namespace dragonflymill::standins {

/// How the weight store's stand-in runs.
struct weight_store_standin_settings
{
    std::uint16_t port = 0;         ///< 0 takes a free one.
    std::int64_t loads_at_once = 2; ///< More loads than these at a time are refused.
    duration load_time = 500ms;     ///< Of one load.
    std::size_t size = 4UL << 20;   ///< Bytes of one model.
};

/// The platform's weight store: a few loads at a time, the rest gets 429 with `Retry-After`.
class weight_store_standin
{
public:
    /// Starts listening.
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
