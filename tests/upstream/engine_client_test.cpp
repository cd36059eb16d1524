#include "upstream/engine_client.h"

#include "runtime/clock.h"
#include "runtime/io_thread.h"
#include "standins/answer.h"
#include "standins/engine_standin.h"
#include "standins/http_client.h"
#include "standins/json_fields.h"
#include "standins/load_plan.h"

#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <condition_variable>
#include <criterion/criterion.h>
#include <mutex>
#include <vector>

using namespace dragonflymill;

namespace {

/// Far longer than any step of these tests takes.
constexpr auto test_timeout = std::chrono::seconds(30);
constexpr token_count prompt_tokens = 60'000;
constexpr token_count exported_tokens = 40'000;
constexpr token_count answer_tokens = 20;

/// A stand-in engine with memory for 50,000 tokens, and an engine client that runs on its own thread.
class engine_fixture
{
public:
    engine_fixture()
        : standin_(settings())
        , client_(thread_.context(), {boost::asio::ip::address_v4::loopback(), standin_.port()}, {},
                  [this](sidecar_event event) { on_event(std::move(event)); })
    {
        thread_.start();
    }
    ~engine_fixture() { thread_.stop(); }
    engine_fixture(const engine_fixture&) = delete;
    auto operator=(const engine_fixture&) -> engine_fixture& = delete;

    [[nodiscard]] auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(standin_.port());
    }
    void start(const attempt_spec& spec, const std::string& prompt)
    {
        const sidecar_output::start_stream what{call_number(1), "r.1", spec, runtime::now() + test_timeout};
        boost::asio::post(thread_.context(), [this, what, prompt] { client_.start_stream(what, prompt); });
    }
    void release(const std::string& span)
    {
        boost::asio::post(thread_.context(), [this, span] { client_.release_span(span); });
    }
    /// Waits for the first event of type `Event`; received events are kept.
    template <typename Event>
    [[nodiscard]] auto wait_for() -> Event
    {
        std::unique_lock lock(mutex_);
        const Event* found = nullptr;
        const bool arrived = changed_.wait_for(lock, test_timeout, [&] {
            for (const auto& event : events_) {
                found = found != nullptr ? found : std::get_if<Event>(&event);
            }
            return found != nullptr;
        });
        cr_assert(arrived);
        return *found;
    }
    /// Returns the text of all tokens received so far.
    [[nodiscard]] auto text() -> std::string
    {
        const std::lock_guard lock(mutex_);
        std::string out;
        for (const auto& event : events_) {
            if (const auto* tokens = std::get_if<sidecar_input::engine_tokens>(&event)) {
                out += tokens->tokens.front();
            }
        }
        return out;
    }
    [[nodiscard]] auto memory_used() const -> token_count
    {
        const auto answer = standins::call_and_wait({address(), "GET", "/_ledger"});
        const auto ledger = standins::parse_object(answer.body);
        return ledger ? standins::number_field(*ledger, "memory_used", -1) : -1;
    }

private:
    static auto settings() -> standins::engine_standin_settings
    {
        standins::engine_standin_settings out;
        out.time_scale = 0.01;
        out.engine.starts_cold = false;
        out.engine.memory_total = 50'000;
        return out;
    }
    void on_event(sidecar_event event)
    {
        const std::lock_guard lock(mutex_);
        events_.push_back(std::move(event));
        changed_.notify_all();
    }

    standins::engine_standin standin_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<sidecar_event> events_;
    runtime::io_thread thread_;
    upstream::engine_client client_;
};

auto make_spec(token_count max_tokens) -> attempt_spec
{
    attempt_spec spec;
    spec.request = request_id("r");
    spec.attempt = attempt_number(1);
    spec.model = model_id("m");
    spec.size = length_class::gang;
    spec.prompt_tokens = prompt_tokens;
    spec.max_tokens = max_tokens;
    return spec;
}

auto make_export_spec() -> attempt_spec
{
    auto spec = make_spec(0);
    spec.exported_span = "r.1.source";
    spec.span_end = exported_tokens;
    return spec;
}

} // namespace

Test(engine_client, answers_from_a_span_computed_at_another_engine)
{
    const auto prompt = standins::prompt_text(prompt_tokens, 1);
    engine_fixture source;
    engine_fixture decoder;
    source.start(make_export_spec(), prompt.substr(0, exported_tokens * standins::bytes_per_token));
    const auto exported = source.wait_for<sidecar_input::engine_finished>();
    cr_assert(exported.source == source.address() && exported.tokens == exported_tokens);
    cr_assert(source.memory_used() == exported_tokens);

    auto spec = make_spec(answer_tokens);
    spec.imports = {{"r.1.source", exported.source, 0, exported_tokens}};
    decoder.start(spec, prompt);
    const auto finished = decoder.wait_for<sidecar_input::engine_finished>();
    cr_assert(finished.source.empty());
    cr_assert(decoder.text() == standins::expected_answer("m", prompt, answer_tokens));
    cr_assert(decoder.memory_used() > 0, "the imported span must stay allocated until it is released");

    for (auto* each : {&source, &decoder}) {
        each->release("r.1.source");
        cr_assert(each->wait_for<sidecar_input::span_released>().span == "r.1.source");
        cr_assert(each->memory_used() == 0);
    }
}

Test(engine_client, reports_a_failure_when_the_engine_rejects_a_span_export)
{
    engine_fixture full;
    auto spec = make_export_spec();
    spec.span_end = prompt_tokens;
    full.start(spec, standins::prompt_text(prompt_tokens, 1));
    cr_assert(full.wait_for<sidecar_input::engine_failed>().overloaded);
    cr_assert(full.memory_used() == 0);
}
