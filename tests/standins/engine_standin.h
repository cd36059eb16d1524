#pragma once

#include "standins/engine_model.h"

#include <cstdint>
#include <memory>
#include <string>

namespace dragonflymill::standins {

/// Settings of an engine stand-in.
struct engine_standin_settings
{
    std::string name = "engine"; ///< Name in its ledger.
    std::uint16_t port = 0;      ///< Listening port; 0 picks a free one.
    double time_scale = 1.0;     ///< Real time per engine time.
    std::string weight_store;    ///< Address to fetch models from; empty loads them without a fetch.
    engine_settings engine;      ///< Speed and size of the engine.
};

/// Stand-in of a model engine with the HTTP interface of docs/upstreams.md. Runs on its own thread.
class engine_standin
{
public:
    /// Starts listening on 127.0.0.1.
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
