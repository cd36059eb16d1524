#pragma once

#include "standins/engine_model.h"

#include <cstdint>
#include <memory>
#include <string>

namespace dragonflymill::standins {

/// How an engine stand-in runs.
struct engine_standin_settings
{
    std::string name = "engine"; ///< Shown in its ledger.
    std::uint16_t port = 0;      ///< 0 takes a free one.
    double time_scale = 1.0;     ///< Real time = the engine's time * this.
    std::string weight_store;    ///< Address that models are loaded from; without one they are at hand.
    engine_settings engine;      ///< The model of its work.
};

/// A model engine behind HTTP, as docs/upstreams.md describes it, on a thread of its own.
class engine_standin
{
public:
    /// Starts listening.
    explicit engine_standin(const engine_standin_settings& settings);
    engine_standin(const engine_standin&) = delete;
    auto operator=(const engine_standin&) -> engine_standin& = delete;
    ~engine_standin();

    /// Port on 127.0.0.1.
    [[nodiscard]] auto port() const -> std::uint16_t;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace dragonflymill::standins
