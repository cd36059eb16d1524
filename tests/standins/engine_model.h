#pragma once

#include "dragonflymill/core/random_source.h"
#include "dragonflymill/core/time.h"
#include "standins/answer.h"
#include "standins/block_cache.h"
#include "standins/engine_control.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::standins {

/// Speed and size of an engine. Times are engine time; the stand-in scales them.
struct engine_settings
{
    std::vector<std::string> models{"m"}; ///< Models loaded at the start.
    token_count memory_total = 450'000;   ///< KV memory for streams and spans, in tokens.
    token_count cache_total = 100'000;    ///< Additional KV memory of the prefix cache, in tokens.
    double prefill_speed = 25'000;        ///< Prefill speed in tokens per second.
    token_count chunk = 2'048;            ///< Maximum prefill tokens of one iteration.
    std::size_t batch = 32;               ///< Maximum streams that decode in one iteration.
    std::size_t stream_limit = 96;        ///< Maximum streams and exports held; further streams are refused.
    duration step_base = 18ms;            ///< Base duration of an iteration.
    duration step_per_stream = 300us;     ///< Additional duration for each decoding stream.
    duration step_per_100k_context = 1'500us; ///< Added per 100,000 tokens of decoding context.
    duration load_lag = 200ms;        ///< Minimum interval of load samples; the latest isn't reported.
    duration event_lag = 500ms;       ///< Delay until a cache event is visible.
    double event_loss = 0.02;         ///< Fraction of cache events that are lost.
    duration order_time = 2s;         ///< Time to load a model; an adapter takes a tenth of it.
    bool honours_fence = true;        ///< Whether orders with a stale fencing number are refused.
    bool starts_cold = true;          ///< Whether the first start is cold like every restart.
    token_count cold_tokens = 60'000; ///< Memory capacity at a cold start; above it, the engine crashes.
    token_count warm_after = 150'000; ///< Tokens prefilled and decoded until the full capacity is reached.
    duration restart_time = 3s;       ///< Time after a crash in which new work is refused.
    std::uint64_t seed = 1;           ///< Seed of the choice of lost cache events.
};

/// A completion request to an engine.
struct completion_order
{
    std::string request_id;              ///< Request id given by the caller.
    std::uint64_t attempt = 0;           ///< Attempt number.
    std::string model;                   ///< Model; must be loaded.
    std::string adapter;                 ///< Adapter, empty for none; must be loaded.
    int priority = 0;                    ///< Priority; lower values are served first.
    prompt_digest prompt;                ///< Digest of the prompt.
    token_count max_tokens = 0;          ///< Token limit of the answer.
    token_count resume_offset = 0;       ///< Tokens of the answer that the caller has already received.
    std::vector<std::string> kv_imports; ///< Imported spans that cover a part of the prompt.
};

/// Identifies a stream or an export inside one engine.
using work_id = std::uint64_t;

/// An event of a stream or an export.
struct engine_event
{
    /// Kinds of events.
    enum class type
    {
        token,    ///< A token of the answer was decoded.
        end,      ///< The answer is complete or was cancelled.
        exported, ///< The span is computed and held.
        lost,     ///< The engine crashed and lost it.
    };
    type kind = type::token; ///< Kind of the event.
    work_id work = 0;        ///< The stream or export.
    token_count offset = 0;  ///< Offset of the token; at the end, the offset after the last token.
    std::string text;        ///< Text of the token, finish reason, or name of the exported span.

    friend auto operator==(const engine_event&, const engine_event&) -> bool = default;
};

/// An entry of the memory held.
struct held_entry
{
    std::string id;         ///< Request id or span name.
    std::string kind;       ///< "stream" or "kv".
    token_count tokens = 0; ///< Size in tokens.

    friend auto operator==(const held_entry&, const held_entry&) -> bool = default;
};

/// A load report.
struct engine_load
{
    instant taken{};                ///< Sampling time.
    token_count running = 0;        ///< Number of streams and exports held.
    token_count queued_prefill = 0; ///< Tokens not yet prefilled.
    token_count memory_used = 0;    ///< KV memory held, in tokens.
};

/// Ledger entry of an accepted stream.
struct run_entry
{
    std::string request_id;    ///< Request id.
    std::uint64_t attempt = 0; ///< Attempt number.
    token_count prompt = 0;    ///< Tokens of the prompt.
    token_count prefilled = 0; ///< Tokens to prefill, that is, neither cached nor imported.
    token_count decoded = 0;   ///< Tokens of the answer decoded by this engine.
    std::string outcome;       ///< "running", "stop", "length", "cancelled" or "lost".
};

/// Simulation of a model engine: continuous batching with chunked prefill, KV memory, prefix cache and cold
/// start. Uses neither clock nor sockets; `advance` sets the time.
class engine_model
{
public:
    /// Starts at time 0.
    explicit engine_model(engine_settings settings);

    /// Simulates up to `now` and returns the events since the previous call.
    [[nodiscard]] auto advance(instant now) -> std::vector<engine_event>;
    /// Time of the next change without further input; nullopt while idle.
    [[nodiscard]] auto next_wake() const -> std::optional<instant>;

    /// Submits a stream. Returns 200 and its id, or the HTTP status of the refusal and 0. Call `advance` with
    /// the current time first.
    [[nodiscard]] auto submit(const completion_order& order) -> std::pair<unsigned, work_id>;
    /// Cancels all attempts of a request. Returns whether memory is still held for it.
    auto cancel(const std::string& request_id) -> bool;
    /// Marks a stream as having lost its caller. It runs on and holds its memory until it is cancelled.
    void detach(work_id id);

    /// Starts to prefill a span and holds it; an `exported` event reports completion. Returns 200 and the id,
    /// or the HTTP status of the refusal and 0.
    [[nodiscard]] auto export_span(const std::string& request_id, const std::string& span, token_count tokens,
                                   int priority = 1) -> std::pair<unsigned, work_id>;
    /// Imports a span of another engine. Uses only a fraction of the span's size here, since the source keeps
    /// it. Returns the HTTP status.
    [[nodiscard]] auto import_span(const std::string& span, token_count tokens) -> unsigned;
    /// Releases a span; idempotent.
    void release_span(const std::string& span);

    /// Submits a control order and returns the HTTP status.
    [[nodiscard]] auto give(const control_order& order) -> unsigned;

    /// Simulates a crash: loses all work and memory, then restarts cold.
    void fall_over();
    /// Makes the engine cold without a restart. Running work continues; new work beyond the cold capacity
    /// makes it crash.
    void turn_cold();

    /// Whether the engine accepts requests, that is, isn't restarting.
    [[nodiscard]] auto up() const -> bool { return now_ >= down_until_; }
    /// Whether the engine is below its full capacity after a cold start.
    [[nodiscard]] auto cold() const -> bool { return warmed_ < settings_.warm_after; }
    /// Identifies the current start; changes with each restart.
    [[nodiscard]] auto start_id() const -> std::uint64_t { return start_id_; }
    /// What it serves.
    [[nodiscard]] auto control() const -> const engine_control& { return control_; }
    /// What it serves.
    [[nodiscard]] auto control() -> engine_control& { return control_; }
    /// Simulated time.
    [[nodiscard]] auto now() const -> instant { return now_; }
    /// Load report, which lags behind by at least `load_lag`.
    [[nodiscard]] auto reported_load() const -> const engine_load& { return reported_load_; }
    /// All memory held now, by stream and span.
    [[nodiscard]] auto held() const -> std::vector<held_entry>;
    /// Memory held now, in tokens.
    [[nodiscard]] auto memory_used() const -> token_count;
    /// Cache events visible by now with a sequence number above `after`.
    [[nodiscard]] auto cache_events(std::uint64_t after) const -> std::vector<block_event>;
    /// The latest 20,000 accepted streams.
    [[nodiscard]] auto runs() const -> const std::deque<run_entry>& { return runs_; }
    /// Number of crashes from overload while cold.
    [[nodiscard]] auto falls() const -> std::uint64_t { return falls_; }
    [[nodiscard]] auto settings() const -> const engine_settings& { return settings_; }

private:
    struct work
    {
        completion_order order;
        std::string span; // set for an export
        token_count prefill_left = 0;
        token_count context = 0; // tokens attended to in decoding
        token_count memory = 0;
        token_count next_offset = 0;
        token_count length = 0;
        std::size_t run = 0; // index in the ledger, dropped entries included
        bool detached = false;
        bool ended = false; // fully decoded, but detached and thus still held
    };
    void start_step();
    void finish_step(std::vector<engine_event>& out);
    void decode(work_id id, work& item, std::vector<engine_event>& out);
    void end(work_id id, const std::string& reason, std::vector<engine_event>& out);
    void plan_prefill();
    void report_load();
    void check_cold_limit();
    void warm_up(token_count tokens);
    [[nodiscard]] auto by_priority() const -> std::vector<work_id>;
    [[nodiscard]] auto refusal_of(const completion_order& order) const -> unsigned;
    [[nodiscard]] auto queued_prefill() const -> token_count;
    [[nodiscard]] auto imported_tokens(const completion_order& order) const -> token_count;
    [[nodiscard]] auto run_of(const work& item) -> run_entry*;
    [[nodiscard]] auto add_run(const completion_order& order, token_count prefill) -> std::size_t;

    struct span_entry
    {
        token_count tokens = 0;
        token_count memory = 0;
    };
    struct prefill_share
    {
        work_id work = 0;
        token_count tokens = 0;
    };

    engine_settings settings_;
    block_cache cache_;
    engine_control control_;
    instant now_{};
    instant down_until_{};
    std::optional<instant> step_end_;
    std::vector<work_id> step_decodes_;
    std::vector<prefill_share> step_prefills_;
    std::map<work_id, work> works_;
    std::map<std::string, span_entry> spans_;
    std::uint64_t start_id_ = 0;
    std::uint64_t falls_ = 0;
    work_id last_work_ = 0;
    token_count warmed_ = 0;
    std::vector<engine_event> waiting_events_; // returned by the next advance()
    engine_load reported_load_;
    engine_load sampled_load_;
    std::deque<run_entry> runs_;
    std::size_t forgotten_runs_ = 0;
    std::vector<control_order> orders_;
};

} // namespace dragonflymill::standins
