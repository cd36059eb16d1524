#include "standins/completion_caller.h"

#include "standins/answer.h"
#include "standins/json_fields.h"

#include <boost/json.hpp>

namespace dragonflymill::standins {

namespace json = boost::json;

namespace {

constexpr auto min_retry_delay = std::chrono::milliseconds(20);

/// Text of the first choice in an event, empty if there is none.
auto choice_text(const json::object& data) -> std::string
{
    const auto* choices = data.if_contains("choices");
    if (choices == nullptr || !choices->is_array() || choices->get_array().empty()) {
        return {};
    }
    const auto& choice = choices->get_array().front();
    return choice.is_object() ? text_field(choice.get_object(), "text") : std::string();
}

} // namespace

auto prepare(const planned_completion& plan, const std::string& model, const std::string& key)
    -> prepared_completion
{
    const auto prompt = prompt_text(plan.tokens, plan.seed);
    const json::object body{
        {"model", model}, {"prompt", prompt}, {"max_tokens", plan.max_tokens}, {"stream", true}};
    return {plan, model, key, json::serialize(body), expected_answer(model, prompt, plan.max_tokens)};
}

completion_caller::completion_caller(caller_surroundings& around,
                                     std::shared_ptr<const prepared_completion> prepared, demo_phase phase,
                                     end_callback ended)
    : around_(around)
    , prepared_(std::move(prepared))
    , ended_(std::move(ended))
    , retry_timer_(around.io)
{
    result_.plan = prepared_->plan;
    result_.phase = phase;
}

void completion_caller::start()
{
    begin_ = std::chrono::steady_clock::now();
    call_ = std::make_shared<http_call>();
    call_->method = "POST";
    call_->target = "/v1/completions";
    call_->headers = {{"Authorization", "Bearer " + prepared_->key}, {"Content-Type", "application/json"}};
    call_->body = prepared_->body;
    call_->time_limit = around_.time_limit;
    send();
}

void completion_caller::send()
{
    received_.clear();
    text_.clear();
    done_ = false;
    stream_error_.reset();
    call_->address = around_.next_gateway();
    start_call(
        around_.io, call_, [self = shared_from_this()](std::string_view piece) { self->take(piece); },
        [self = shared_from_this()](const http_answer& answer) { self->take_answer(answer); });
}

void completion_caller::take(std::string_view piece)
{
    const std::string_view opening = "data:";
    received_ += piece;
    std::size_t begin = 0;
    for (auto end = received_.find("\n\n"); end != std::string::npos; end = received_.find("\n\n", begin)) {
        const std::string_view event(received_.data() + begin, end - begin);
        if (event.substr(0, opening.size()) == opening) {
            const auto data = event.substr(opening.size());
            take_event(data.substr(data.substr(0, 1) == " " ? 1 : 0));
        }
        begin = end + 2;
    }
    received_.erase(0, begin);
}

void completion_caller::take_event(std::string_view data)
{
    if (data == "[DONE]") {
        done_ = true;
        return;
    }
    const auto object = parse_object(data);
    if (!object || object->contains("error")) {
        stream_error_ = object ? error_of(*object) : gateway_error{"unreadable event", false, {}};
        return;
    }
    const auto text = choice_text(*object);
    if (!text.empty() && !result_.first_token) {
        result_.first_token = elapsed();
    }
    text_ += text;
}

void completion_caller::take_answer(const http_answer& answer)
{
    if (answer.status != 200) {
        end_or_retry(error_of(answer.status, received_, answer.failure));
    }
    else if (stream_error_) {
        end_or_retry(*stream_error_);
    }
    else if (!answer.failure.empty() || !done_) {
        finish(completion_end::broken, "stream without an end: " + answer.failure);
    }
    else if (text_ != prepared_->expected) {
        finish(completion_end::wrong, "got " + std::to_string(text_.size()) + " bytes instead of " +
                                          std::to_string(prepared_->expected.size()) + " or other text");
    }
    else {
        finish(completion_end::answered, "");
    }
}

void completion_caller::end_or_retry(const gateway_error& problem)
{
    if (!problem.ran_no) {
        finish(completion_end::failed, problem.text());
        return;
    }
    around_.refused(problem);
    const bool not_retryable =
        problem.retry_after == duration::zero() && problem.code.rfind("transport", 0) != 0;
    if (not_retryable || elapsed() + problem.retry_after > around_.patience) {
        finish(completion_end::refused, problem.text());
        return;
    }
    ++result_.refusals;
    retry_timer_.expires_after(std::max<duration>(min_retry_delay, problem.retry_after));
    retry_timer_.async_wait([self = shared_from_this()](const auto&) { self->send(); });
}

void completion_caller::finish(completion_end end, const std::string& why)
{
    result_.end = end;
    result_.why = why;
    result_.whole = elapsed();
    ended_(result_);
}

auto completion_caller::elapsed() const -> duration
{
    return std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - begin_);
}

} // namespace dragonflymill::standins
