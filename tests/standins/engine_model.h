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

/// How fast and how large an engine is. Times are the engine's own; the stand-in scales them.
struct engine_settings
{
    std::vector<std::string> models{"m"};     ///< Loaded at the start.
    token_count memory_total = 450'000;       ///< KV memory of streams and spans.
    token_count cache_total = 100'000;        ///< KV memory of the prefix cache, on top.
    double prefill_speed = 25'000;            ///< Tokens a second.
    token_count chunk = 2'048;                ///< Most prefill tokens of one step.
    std::size_t batch = 32;                   ///< Most streams that decode in one step.
    std::size_t stream_limit = 96;            ///< More streams than these are refused.
    duration step_base = 18ms;                ///< Time of a step that does next to nothing.
    duration step_per_stream = 300us;         ///< Added for each decoding stream.
    duration step_per_100k_context = 1'500us; ///< Added for each 100,000 tokens of decoding context.
    duration load_lag = 200ms;                ///< Age that load reports reach.
    duration event_lag = 500ms;               ///< Delay of cache events.
    double event_loss = 0.02;                 ///< Share of cache events that never show.
    duration order_time = 2s;                 ///< Time to load a model; adapters take a tenth.
    bool honours_fence = true;                ///< Refuses orders with an old fencing number.
    bool starts_cold = true;                  ///< Whether its first start is cold, too.
    token_count cold_tokens =
        60'000; ///< Tokens of prompts and answers carried at the beginning of a cold start.
    token_count warm_after = 150'000; ///< Tokens worked off until it carries its full load.
    duration restart_time = 3s;       ///< Time for which it answers nothing after it fell over.
    std::uint64_t seed = 1;           ///< Of the lost cache events.
};

/// What an engine is asked to complete.
struct completion_order
{
    std::string request_id;              ///< The caller's id.
    std::uint64_t attempt = 0;           ///< Number of the try.
    std::string model;                   ///< Must be loaded.
    std::string adapter;                 ///< Must be loaded unless empty.
    int priority = 0;                    ///< 0 is served first.
    prompt_digest prompt;                ///< The prompt.
    token_count max_tokens = 0;          ///< Longest answer.
    token_count resume_offset = 0;       ///< Tokens of the answer that the caller has.
    std::vector<std::string> kv_imports; ///< Spans imported here that cover a part of the prompt.
};

/// Number of a stream or an export inside one engine.
using work_id = std::uint64_t;

/// What happens to a piece of work.
struct engine_event
{
    /// Kinds of events.
    enum class type
    {
        token,    ///< One token of the answer.
        end,      ///< The answer is whole or was cancelled.
        exported, ///< A span is computed and held.
        lost,     ///< The engine fell over and knows nothing of it any more.
    };
    type kind = type::token; ///< What happened.
    work_id work = 0;        ///< To which work.
    token_count offset = 0;  ///< Of the token, or tokens in all at the end.
    std::string text;        ///< Token's text, or finish reason.

    friend auto operator==(const engine_event&, const engine_event&) -> bool = default;
};

/// One piece of held memory.
struct held_entry
{
    std::string id;         ///< Request or span.
    std::string kind;       ///< "stream" or "kv".
    token_count tokens = 0; ///< Size.

    friend auto operator==(const held_entry&, const held_entry&) -> bool = default;
};

/// A load report.
struct engine_load
{
    instant taken{};                ///< When it was true.
    token_count running = 0;        ///< Streams held.
    token_count queued_prefill = 0; ///< Tokens that wait for prefill.
    token_count memory_used = 0;    ///< Tokens held.
};

/// One line of the ledger: a stream that the engine accepted.
struct run_entry
{
    std::string request_id;    ///< Whose.
    std::uint64_t attempt = 0; ///< Which try.
    token_count prompt = 0;    ///< Tokens of the prompt.
    token_count prefilled = 0; ///< Tokens that weren't cached or imported.
    token_count decoded = 0;   ///< Tokens of the answer made here.
    std::string outcome;       ///< running, stop, length, cancelled or lost.
};

/// A model engine as a calculation: continuous batching with chunked prefill, memory, cache, cold start. No
/// clock and no socket: time comes in by `advance`.
class engine_model
{
public:
    /// Starts at time 0.
    explicit engine_model(engine_settings settings);

    /// Works up to `now`; what happened since.
    [[nodiscard]] auto advance(instant now) -> std::vector<engine_event>;
    /// When something happens next, if nothing comes in; nothing while idle.
    [[nodiscard]] auto next_wake() const -> std::optional<instant>;

    /// Takes a stream: 200 and its number, or the status of the refusal and 0. Call `advance` to the moment
    /// first.
    [[nodiscard]] auto submit(const completion_order& order) -> std::pair<unsigned, work_id>;
    /// Ends all attempts of a request; whether something is still held for it.
    auto cancel(const std::string& request_id) -> bool;
    /// The reader of a stream is gone: the stream runs on, and what it holds stays until it is cancelled.
    void detach(work_id id);

    /// Computes and holds a span; answered by an `exported` event.
    [[nodiscard]] auto export_span(const std::string& request_id, const std::string& span, token_count tokens,
                                   int priority = 1) -> std::pair<unsigned, work_id>;
    /// Takes a span from another engine; it takes a share of its size here, since the source keeps it.
    [[nodiscard]] auto import_span(const std::string& span, token_count tokens) -> unsigned;
    /// Lets a span go; idempotent.
    void release_span(const std::string& span);

    /// Takes an order: status of the answer.
    [[nodiscard]] auto give(const control_order& order) -> unsigned;

    /// Loses everything and starts again, cold.
    void fall_over();
    /// Becomes cold without a restart. What it holds runs on; new work beyond what it can carry makes it fall
    /// over.
    void turn_cold();

    /// Whether it answers at all.
    [[nodiscard]] auto up() const -> bool { return now_ >= down_until_; }
    /// Whether it carries less than its full load.
    [[nodiscard]] auto cold() const -> bool { return warmed_ < settings_.warm_after; }
    /// Changes with each start.
    [[nodiscard]] auto start_id() const -> std::uint64_t { return start_id_; }
    /// What it serves.
    [[nodiscard]] auto control() const -> const engine_control& { return control_; }
    /// What it serves.
    [[nodiscard]] auto control() -> engine_control& { return control_; }
    /// Time up to which it worked.
    [[nodiscard]] auto now() const -> instant { return now_; }
    /// Lagging load report.
    [[nodiscard]] auto reported_load() const -> const engine_load& { return reported_load_; }
    /// Everything held now.
    [[nodiscard]] auto held() const -> std::vector<held_entry>;
    /// Tokens held now.
    [[nodiscard]] auto memory_used() const -> token_count;
    /// Cache events that show by now, with a number above `after`.
    [[nodiscard]] auto cache_events(std::uint64_t after) const -> std::vector<block_event>;
    /// Every stream it accepted, the last 20,000.
    [[nodiscard]] auto runs() const -> const std::deque<run_entry>& { return runs_; }
    /// How often it fell over from overload while cold.
    [[nodiscard]] auto falls() const -> std::uint64_t { return falls_; }
    /// How it was set up.
    [[nodiscard]] auto settings() const -> const engine_settings& { return settings_; }

private:
    struct work
    {
        completion_order order;
        std::string span; // set for an export
        token_count prefill_left = 0;
        token_count context = 0; // tokens attended to when decoding
        token_count memory = 0;
        token_count next_offset = 0;
        token_count length = 0;
        std::size_t run = 0; // number in the ledger, counted over all
        bool detached = false;
        bool ended = false; // detached, decoded to the end, still held
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
    std::vector<engine_event> waiting_events_; // for the next advance
    engine_load reported_load_;
    engine_load sampled_load_;
    std::deque<run_entry> runs_;
    std::size_t forgotten_runs_ = 0;
    std::vector<control_order> orders_;
};

} // namespace dragonflymill::standins
