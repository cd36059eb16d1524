#pragma once

#include "dragonflymill/core/length_class.h"
#include "dragonflymill/core/time.h"
#include "dragonflymill/route/upstream_description.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <vector>

namespace dragonflymill::rig {

/// Number of engine priorities: one for each length class, and one for overnight work.
inline constexpr std::size_t priority_count = length_class_count + 1;

/// Speed and capacity of a simulated engine.
struct engine_settings
{
    double prefill_rate = 40'000.0;          ///< Tokens per second.
    token_count chunk = 512;                 ///< Tokens of prefill per step.
    duration step{8'000};                    ///< Duration of an empty step.
    duration step_per_request{100};          ///< Added to a step by each decoding request.
    double step_us_per_context_token = 5e-3; ///< Added by each context token in decode.
    double depth_doubling = 1e6;             ///< Prompt position at which prefill takes twice the time.
    token_count memory = 450'000;            ///< KV cache for running requests, in tokens.
    token_count cache = 400'000;             ///< Additional prefix cache, in tokens.
    double short_memory = 0.1;               ///< Fraction of the memory reserved for interactive requests.
    bool one_queue = false;                  ///< One FIFO queue instead of priorities.
    duration report_lag{200'000};            ///< Age of a load report when the engine sends it.
};

/// One attempt at a request, or one span of a gang's prompt.
struct engine_job
{
    std::uint32_t id = 0;                          ///< Index of the request.
    std::size_t priority = 0;                      ///< Queue; 0 is served first.
    length_class size = length_class::interactive; ///< Length class in the load report.
    token_count begin = 0;  ///< Prompt position where prefill starts; the tokens before it are cached or held
                            ///< by other engines.
    token_count end = 0;    ///< Prompt position where prefill ends.
    token_count output = 0; ///< Tokens to decode; 0 for an inner span of a gang.
    token_count memory = 0; ///< Context memory on this engine in tokens; 0 if a gang's share covers it.
    token_count produced = 0; ///< Tokens decoded so far.
    bool has_memory = false;  ///< Whether its memory is allocated.
};

/// Progress of a request in one step.
struct engine_event
{
    std::uint32_t id = 0;   ///< Index of the request.
    bool prefilled = false; ///< Prefill finished: the first token or the span is complete.
    bool ended = false;     ///< The last token was decoded.
};

/// Prefix cache by key, with least recently used eviction.
class engine_cache
{
public:
    explicit engine_cache(token_count capacity)
        : capacity_(capacity)
    {
    }

    /// Number of tokens cached under `key`.
    [[nodiscard]] auto cached(std::uint64_t key) const -> token_count
    {
        const auto found = index_.find(key);
        return found == index_.end() ? 0 : found->second->second;
    }

    /// Caches `tokens` under `key`, or marks the entry as recently used and extends it.
    void store(std::uint64_t key, token_count tokens)
    {
        const auto found = index_.find(key);
        if (found != index_.end()) {
            tokens = std::max(tokens, found->second->second);
            used_ -= found->second->second;
            order_.erase(found->second);
            index_.erase(found);
        }
        order_.emplace_front(key, tokens);
        index_[key] = order_.begin();
        used_ += tokens;
        while (used_ > capacity_ && order_.size() > 1) {
            used_ -= order_.back().second;
            index_.erase(order_.back().first);
            order_.pop_back();
        }
    }

private:
    using entry = std::pair<std::uint64_t, token_count>;

    token_count capacity_;
    token_count used_ = 0;
    std::list<entry> order_;
    std::map<std::uint64_t, std::list<entry>::iterator> index_;
};

/// A simulated engine with continuous batching: each step decodes one token of every running request and
/// prefills one chunk.
class engine
{
public:
    explicit engine(const engine_settings& settings)
        : settings_(settings)
        , cache_(settings.cache)
    {
    }

    [[nodiscard]] auto cache() -> engine_cache& { return cache_; }
    [[nodiscard]] auto idle() const -> bool { return decoding_.empty() && waiting() == 0; }
    [[nodiscard]] auto stepping() const -> bool { return stepping_; }
    [[nodiscard]] auto memory_free() const -> token_count
    {
        return settings_.memory - memory_used_ - reserved_;
    }
    /// Free memory in tokens for a request of a class. As with a sidecar's permits, a fraction is reserved
    /// for interactive requests.
    [[nodiscard]] auto memory_for(length_class size) const -> token_count
    {
        const bool all = settings_.one_queue || size == length_class::interactive;
        const auto kept =
            static_cast<token_count>(settings_.short_memory * static_cast<double>(settings_.memory));
        return memory_free() - (all ? 0 : kept);
    }
    /// Total time spent in steps that prefill.
    [[nodiscard]] auto busy() const -> duration { return busy_; }

    void submit(const engine_job& job) { queues_[settings_.one_queue ? 0 : job.priority].push_back(job); }

    /// Reserves memory for a gang, or releases it if negative; in tokens.
    void reserve(token_count tokens) { reserved_ += tokens; }
    /// Free memory for gangs if no other request held any, in tokens.
    [[nodiscard]] auto gang_room() const -> token_count
    {
        return memory_for(length_class::gang) + memory_used_;
    }
    /// Blocks new bulk prompts until `until`, while a gang waits in the queue for memory.
    void keep_out_bulk(instant until) { no_bulk_until_ = until; }

    /// Removes a request; returns how many tokens of its prompt were prefilled here.
    auto cancel(std::uint32_t id) -> token_count
    {
        const auto same = [id](const engine_job& job) { return job.id == id; };
        token_count done = 0;
        for (auto& queue : queues_) {
            const auto found = std::find_if(queue.begin(), queue.end(), same);
            if (found != queue.end()) {
                done = found->begin;
                memory_used_ -= found->has_memory ? found->memory : 0;
                queue.erase(found);
            }
        }
        const auto found = std::find_if(decoding_.begin(), decoding_.end(), same);
        if (found != decoding_.end()) {
            done = found->end;
            leave(*found);
            decoding_.erase(found);
        }
        return done;
    }

    /// Starts a step and returns its duration.
    auto begin_step(instant now = instant{}) -> duration
    {
        now_ = now;
        stepping_ = true;
        in_step_ = decoding_.size();
        double time = static_cast<double>(settings_.step.count());
        time +=
            static_cast<double>(settings_.step_per_request.count()) * static_cast<double>(decoding_.size());
        time += settings_.step_us_per_context_token * static_cast<double>(context_);
        const double prefill = prefill_chunk();
        const duration taken(static_cast<duration::rep>(time + prefill));
        busy_ += prefill > 0.0 ? taken : duration::zero();
        return taken;
    }

    /// Ends the current step.
    auto end_step() -> std::vector<engine_event>
    {
        stepping_ = false;
        std::vector<engine_event> events;
        std::size_t kept = 0;
        for (std::size_t i = 0; i < decoding_.size(); ++i) {
            auto& job = decoding_[i];
            job.produced += i < in_step_ ? 1 : 0;
            if (job.produced >= job.output) {
                events.push_back({job.id, false, true});
                leave(job);
            }
            else {
                decoding_[kept++] = job;
            }
        }
        decoding_.resize(kept);
        for (const auto& job : prefilled_) {
            finish_prefill(job, events);
        }
        prefilled_.clear();
        return events;
    }

    /// Current load.
    [[nodiscard]] auto load() const -> upstream_load
    {
        upstream_load load;
        for (const auto& queue : queues_) {
            for (const auto& job : queue) {
                load.queued_prefill[index_of(job.size)] += job.end - job.begin;
            }
        }
        load.running = static_cast<std::int64_t>(decoding_.size());
        load.memory_used = memory_used_ + reserved_;
        load.start = incarnation(1);
        return load;
    }

    /// Records the load for later reports.
    void note_load(instant now)
    {
        history_.emplace_back(now, load());
        while (history_.size() > 1 && history_[1].first + settings_.report_lag <= now) {
            history_.pop_front();
        }
    }

    /// Load report that the engine sends at `now`; it lags by `report_lag`.
    [[nodiscard]] auto report(instant now) const -> upstream_load
    {
        upstream_load load = history_.front().second;
        load.age = now - history_.front().first;
        return load;
    }

private:
    [[nodiscard]] auto waiting() const -> std::size_t
    {
        std::size_t count = prefilled_.size();
        for (const auto& queue : queues_) {
            count += queue.size();
        }
        return count;
    }

    /// Prefills up to one chunk, by priority, from queues whose head fits into memory; returns the
    /// microseconds.
    auto prefill_chunk() -> double
    {
        token_count budget = settings_.chunk;
        double time = 0.0;
        for (auto& queue : queues_) {
            while (budget > 0 && !queue.empty() && take_memory(queue.front())) {
                auto& job = queue.front();
                const token_count tokens = std::min(budget, job.end - job.begin);
                const double depth = 1.0 + static_cast<double>(job.begin) / settings_.depth_doubling;
                time += static_cast<double>(tokens) / settings_.prefill_rate * 1e6 * depth;
                job.begin += tokens;
                budget -= tokens;
                if (job.begin >= job.end) {
                    prefilled_.push_back(job);
                    queue.pop_front();
                }
            }
        }
        return time;
    }

    auto take_memory(engine_job& job) -> bool
    {
        const bool kept_out = job.size == length_class::bulk && now_ < no_bulk_until_;
        if (!job.has_memory && (kept_out || job.memory > memory_for(job.size))) {
            return false;
        }
        memory_used_ += job.has_memory ? 0 : job.memory;
        job.has_memory = true;
        return true;
    }

    void finish_prefill(const engine_job& job, std::vector<engine_event>& events)
    {
        events.push_back({job.id, true, job.output == 1});
        if (job.output <= 1) {
            memory_used_ -= job.memory;
            return;
        }
        decoding_.push_back(job);
        decoding_.back().produced = 1;
        context_ += job.end;
    }

    void leave(const engine_job& job)
    {
        context_ -= job.end;
        memory_used_ -= job.memory;
    }

    engine_settings settings_;
    engine_cache cache_;
    std::array<std::deque<engine_job>, priority_count> queues_;
    std::vector<engine_job> decoding_;
    std::vector<engine_job> prefilled_; // in the current step
    std::size_t in_step_ = 0;
    token_count context_ = 0;
    token_count memory_used_ = 0;
    token_count reserved_ = 0;
    duration busy_{0};
    instant now_;
    instant no_bulk_until_;
    bool stepping_ = false;
    std::deque<std::pair<instant, upstream_load>> history_;
};

} // namespace dragonflymill::rig
