#include "dragonflymill/route/upstream_record.h"

#include "dragonflymill/core/guard.h"
#include "dragonflymill/core/stable_hash.h"

#include <limits>
#include <utility>

namespace dragonflymill {

namespace {

constexpr double slowness_smoothing = 0.1;
constexpr double min_slowness = 0.5;
constexpr double max_slowness = 8.0;
constexpr duration min_prediction{1'000};

template <typename Id>
auto contains(const std::vector<Id>& sorted, const Id& id) -> bool
{
    return std::binary_search(sorted.begin(), sorted.end(), id);
}

} // namespace

upstream_record::upstream_record(upstream_description description)
{
    describe(std::move(description));
}

void upstream_record::describe(upstream_description description)
{
    std::sort(description.models.begin(), description.models.end());
    std::sort(description.adapters.begin(), description.adapters.end());
    name_hash_ = stable_hash(description.id.text());
    description_ = std::move(description);
}

auto upstream_record::takes_new_work() const -> bool
{
    // Guards against work sent to a drained failure domain or a leaving host, where it would be cut off.
    // Every policy gets its candidates through this check.
    if (guard_holds(guard::drain) && (drained() || state_ == upstream_state::leaving)) {
        return false;
    }
    return state_ != upstream_state::dead;
}

auto upstream_record::serves(const model_id& model, const adapter_id& adapter) const -> bool
{
    return contains(description_.models, model) &&
           (adapter.empty() || contains(description_.adapters, adapter));
}

auto upstream_record::queued(length_class size) const -> token_count
{
    const auto i = index_of(size);
    const token_count corrected = load_.queued_prefill[i] - own_done_since_[i] + own_unreported_[i];
    // The gateway's own waiting work is a lower bound, whatever a late, duplicated or wrong load report
    // states.
    return std::max(corrected, own_waiting_[i]);
}

auto upstream_record::queue_ahead(length_class size) const -> token_count
{
    token_count ahead = 0;
    for (const auto each : all_length_classes) {
        ahead += each <= size ? queued(each) : 0;
    }
    return ahead;
}

auto upstream_record::running() const -> std::int64_t
{
    return std::max(load_.running, own_decoding_);
}

auto upstream_record::memory_free() const -> token_count
{
    if (description_.memory == 0) {
        return std::numeric_limits<token_count>::max();
    }
    // Queued work holds no KV cache yet; if it counted, an engine would look full to requests scheduled
    // before it.
    const token_count used = std::max(load_.memory_used, own_context_);
    return std::max<token_count>(0, description_.memory - used);
}

auto upstream_record::ramp_full(token_count cost) const -> bool
{
    if (!load_.cold || load_.allowed == 0) {
        return false;
    }
    token_count unreported = 0;
    for (const auto tokens : own_unreported_) {
        unreported += tokens;
    }
    const token_count committed = load_.outstanding + unreported;
    return committed > 0 && committed + cost > load_.allowed;
}

void upstream_record::report(instant now, const upstream_load& load)
{
    const instant measured = now - load.age;
    const bool restarted = has_load_ && load.start > load_.start;
    const bool is_stale = has_load_ && (load.start < load_.start || (!restarted && measured < measured_at_));
    if (is_stale) {
        return; // late, duplicated or reordered: it would overwrite a newer report
    }
    if (restarted) {
        own_.clear();
        slowness_.fill(1.0);
    }
    load_ = load;
    has_load_ = true;
    measured_at_ = measured;
    forget_covered();
    recount();
}

auto upstream_record::sent(instant now, const dispatched_work& work) -> bool
{
    if (own_.size() >= max_in_flight) {
        std::erase_if(own_, [](const own_work& own) { return own.ended; });
    }
    if (own_.size() >= max_in_flight) {
        return false;
    }
    own_.push_back({work, now, now, now});
    own_waiting_[index_of(work.size)] += work.prefill;
    own_unreported_[index_of(work.size)] += work.prefill;
    ++own_in_flight_;
    return true;
}

void upstream_record::first_token(instant now, const request_id& request, attempt_number attempt)
{
    own_work* own = find(request, attempt);
    if (own == nullptr || own->prefilled) {
        return;
    }
    note_prefilled(now, *own);
    ++own_decoding_;
    own_context_ += own->work.context;
    const auto predicted = std::max(own->work.predicted_first_token, min_prediction);
    const double ratio =
        static_cast<double>((now - own->sent_at).count()) / static_cast<double>(predicted.count());
    double& slowness = slowness_[index_of(own->work.size)];
    slowness += slowness_smoothing * (std::clamp(ratio, min_slowness, max_slowness) - slowness);
}

void upstream_record::finished(instant now, const request_id& request, attempt_number attempt)
{
    own_work* own = find(request, attempt);
    if (own == nullptr) {
        return;
    }
    if (own->prefilled) {
        --own_decoding_;
        own_context_ -= own->work.context;
    }
    else {
        note_prefilled(now, *own);
    }
    own->ended = true;
    own->ended_at = now;
    --own_in_flight_;
}

auto upstream_record::find(const request_id& request, attempt_number attempt) -> own_work*
{
    const auto same = [&](const own_work& own) {
        return !own.ended && own.work.attempt == attempt && own.work.request == request;
    };
    const auto found = std::find_if(own_.begin(), own_.end(), same);
    return found == own_.end() ? nullptr : &*found;
}

void upstream_record::note_prefilled(instant now, own_work& own)
{
    own.prefilled = true;
    own.prefilled_at = now;
    const auto i = index_of(own.work.size);
    own_waiting_[i] -= own.work.prefill;
    if (own.sent_at > measured_at_ || !has_load_) {
        own_unreported_[i] -= own.work.prefill;
    }
    else {
        own_done_since_[i] += own.work.prefill;
    }
}

void upstream_record::forget_covered()
{
    std::erase_if(own_, [this](const own_work& own) { return own.ended && own.ended_at <= measured_at_; });
}

void upstream_record::recount()
{
    own_waiting_ = {};
    own_unreported_ = {};
    own_done_since_ = {};
    own_in_flight_ = 0;
    own_decoding_ = 0;
    own_context_ = 0;
    for (const auto& own : own_) {
        const auto i = index_of(own.work.size);
        const bool reported = own.sent_at <= measured_at_;
        own_waiting_[i] += own.prefilled ? 0 : own.work.prefill;
        own_unreported_[i] += own.prefilled || reported ? 0 : own.work.prefill;
        own_done_since_[i] +=
            own.prefilled && reported && own.prefilled_at > measured_at_ ? own.work.prefill : 0;
        if (!own.ended) {
            ++own_in_flight_;
            own_decoding_ += own.prefilled ? 1 : 0;
            own_context_ += own.prefilled ? own.work.context : 0;
        }
    }
}

} // namespace dragonflymill
