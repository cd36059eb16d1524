#include "dragonflymill/route/first_token_prediction.h"

#include <algorithm>
#include <limits>

namespace dragonflymill {

namespace {

constexpr double microseconds_per_second = 1e6;
constexpr double max_prediction_us = 3.6e9;

} // namespace

auto class_on(const upstream_record& record, const route_request& request, token_count prefill)
    -> length_class
{
    const token_count memory = record.description().memory;
    const token_count bound = memory == 0 ? std::numeric_limits<token_count>::max() : memory;
    return classify(prefill, request.prompt_tokens + request.max_tokens, bound);
}

auto predict_first_token(const upstream_record& record, length_class size, token_count prefill) -> duration
{
    const auto& description = record.description();
    const double rate = std::max(1.0, description.prefill_rate);
    const auto chunk = static_cast<double>(std::max<token_count>(1, description.prefill_chunk));
    const auto work = static_cast<double>(record.queue_ahead(size) + prefill);
    const double growth = static_cast<double>(description.decode_step_growth.count());
    const double step =
        static_cast<double>(description.decode_step.count()) + growth * static_cast<double>(record.running());
    const token_count queued = record.queue_ahead(length_class::gang);
    const double running_chunk =
        std::min(chunk, static_cast<double>(queued)) / rate * microseconds_per_second;
    const double steps = std::max(1.0, work / chunk);
    const double remaining_step_share = queued > 0 || record.running() > 0 ? 0.5 : 0.0;
    const double time =
        work / rate * microseconds_per_second + steps * step + remaining_step_share * (step + running_chunk);
    return duration(static_cast<duration::rep>(std::min(time, max_prediction_us)));
}

auto prefill_time(const upstream_description& engine, token_count tokens) -> duration
{
    const auto count = static_cast<double>(tokens);
    const double rate = std::max(1.0, engine.prefill_rate);
    const auto chunk = static_cast<double>(std::max<token_count>(1, engine.prefill_chunk));
    const double steps = count / chunk * static_cast<double>(engine.decode_step.count());
    const double time = steps + count / rate * microseconds_per_second;
    return duration(static_cast<duration::rep>(std::min(time, max_prediction_us)));
}

auto drain_time(instant now, const upstream_record& record) -> duration
{
    const duration reported = prefill_time(record.description(), record.queue_ahead(length_class::gang));
    const duration elapsed = record.has_load() ? record.load_age(now) : duration::zero();
    return std::max(duration::zero(), reported - elapsed);
}

} // namespace dragonflymill
