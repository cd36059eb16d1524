#include "standins/booking_caller.h"

#include "dragonflymill/core/random_source.h"
#include "standins/json_fields.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cstdio>

namespace dragonflymill::standins {

namespace json = boost::json;

namespace {

constexpr auto min_retry_delay = std::chrono::milliseconds(20);
constexpr auto unknown_outcome_retry_delay = std::chrono::milliseconds(100);

} // namespace

auto booking_key(std::uint64_t seed, std::chrono::milliseconds ahead) -> std::string
{
    random_source random(seed);
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
    const auto time = static_cast<std::uint64_t>(now + ahead.count());
    const auto a = static_cast<unsigned>(random.below(0x1000));
    const auto b = static_cast<unsigned>(0x8000 + random.below(0x4000));
    const auto c = static_cast<unsigned long long>(random.below(1ULL << 48U));
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%08llx-%04llx-7%03x-%04x-%012llx",
                  static_cast<unsigned long long>(time >> 16U),
                  static_cast<unsigned long long>(time & 0xffffU), a, b, c);
    return text.data();
}

booking_caller::booking_caller(caller_surroundings& around, const planned_booking& plan,
                               std::string account_key, demo_phase phase, end_callback ended)
    : around_(around)
    , plan_(plan)
    , account_key_(std::move(account_key))
    , ended_(std::move(ended))
    , second_timer_(around.io)
{
    result_.key = booking_key(plan.seed);
    result_.phase = phase;
}

void booking_caller::start()
{
    begin_ = std::chrono::steady_clock::now();
    send(around_.next_gateway());
    second_timer_.expires_after(plan_.again_after);
    second_timer_.async_wait(
        [self = shared_from_this()](const auto&) { self->send(self->around_.next_gateway()); });
}

void booking_caller::send(const std::string& gateway)
{
    const auto call = std::make_shared<http_call>();
    call->address = gateway;
    call->method = "POST";
    call->target = "/v1/services/booking";
    call->headers = {{"Authorization", "Bearer " + account_key_},
                     {"Content-Type", "application/json"},
                     {"Idempotency-Key", result_.key}};
    call->body = json::serialize(json::object{{"id", result_.key}, {"logs", 2}});
    call->time_limit = around_.time_limit;
    start_call(around_.io, call, nullptr,
               [self = shared_from_this()](const http_answer& answer) { self->take_answer(answer); });
}

void booking_caller::take_answer(const http_answer& answer)
{
    if (answer.status == 200 && answer.failure.empty()) {
        ++result_.confirmations;
        end_try();
        return;
    }
    const auto problem = error_of(answer.status, answer.body, answer.failure);
    result_.why = problem.text();
    result_.surely_not_run = problem.ran_no;
    if (problem.ran_no) {
        ++result_.not_run;
        around_.refused(problem);
    }
    else {
        ++result_.unknown;
    }
    if (std::chrono::steady_clock::now() - begin_ > around_.patience) {
        end_try();
        return;
    }
    retry_later(problem.ran_no ? std::max<duration>(min_retry_delay, problem.retry_after)
                               : unknown_outcome_retry_delay);
}

void booking_caller::retry_later(duration wait)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(around_.io, wait);
    timer->async_wait(
        [self = shared_from_this(), timer](const auto&) { self->send(self->around_.next_gateway()); });
}

void booking_caller::end_try()
{
    if (--tries_open_ == 0) {
        ended_(result_);
    }
}

} // namespace dragonflymill::standins
