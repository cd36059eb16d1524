#include "gateway_fixture.h"
#include "runtime/clock.h"

using namespace dragonflymill;
using namespace dragonflymill::edge;

namespace {

/// A gateway with three engines that are asked for reports, of which the first one's answers vary.
struct report_fixture : gateway_fixture
{
    report_fixture()
    {
        settings.report_interval = 100ms;
        engine_profile = direct::engine_profile{};
        engine_profile->report_lag = 0ms;
        reports.request = [](const std::string& address) {
            return "GET /state HTTP/1.1\r\nHost: " + address + "\r\n\r\n";
        };
        reports.decode = [](std::string_view body) -> std::optional<upstream_report> {
            if (!body.starts_with("slowdown ")) {
                return std::nullopt;
            }
            return upstream_report{std::stod(std::string(body.substr(9)))};
        };
        engines.push_back(&add_upstream(
            "engines", [this](taken_connection& connection) { connection.send(first_answer); }));
        for (int i = 0; i < 2; ++i) {
            engines.push_back(&add_upstream("engines", [](taken_connection& connection) {
                connection.send(complete_response("slowdown 1"));
            }));
        }
        plain = &add_upstream(
            "bookings", [](taken_connection& connection) { connection.send(complete_response("booked")); });
    }
    /// Runs until the first engine has been asked `times` times more, and its last answers are read.
    void run_requests(std::size_t times)
    {
        const std::size_t before = engines[0]->requests.size();
        run_until([&] { return engines[0]->requests.size() >= before + times + 1; });
    }
    /// Whether `count` upstreams are believed to be slow.
    [[nodiscard]] auto slow(int count) const -> bool
    {
        return metric("dragonflymill_slow_upstreams " + std::to_string(count));
    }
    [[nodiscard]] auto metric(const std::string& line) const -> bool
    {
        return gateway->metrics().text().find("\n" + line + "\n") != std::string::npos;
    }

    std::vector<standin_upstream*> engines;
    standin_upstream* plain = nullptr;
    std::string first_answer = complete_response("slowdown 1");
};

} // namespace

// Guards against statements that nobody reads, upstreams that count as slow after they have recovered, and
// requests for reports that reach a plain service.
Test(upstream_report, slowdown_that_an_engine_reports_is_believed_until_it_reports_recovery)
{
    report_fixture fixture;
    fixture.first_answer = complete_response("slowdown 5");
    fixture.start();
    fixture.run_until([&] { return fixture.slow(1); });
    fixture.first_answer = complete_response("slowdown 1");
    fixture.run_until([&] { return fixture.slow(0); });
    cr_assert(fixture.plain->requests.empty());
    cr_assert(fixture.metric("dragonflymill_upstream_reports_failed_total 0"));
}

// Guards against a report that counts as newer than what it states.
Test(upstream_report, statement_is_as_old_as_the_profile_says)
{
    report_fixture fixture;
    fixture.engine_profile->report_lag = 2 * direct::upstream_speeds::max_age;
    fixture.first_answer = complete_response("slowdown 5");
    fixture.start();
    fixture.run_requests(2);
    cr_assert(fixture.slow(0));
    cr_assert(fixture.metric("dragonflymill_upstream_reports_failed_total 0"));
}

// Guards against an unusable report that counts as a statement or ends the gateway, and against requests that
// stop after one.
Test(upstream_report, unusable_reports_change_nothing_and_others_are_still_asked)
{
    const std::string too_long(report_poller::max_report_bytes, ' ');
    for (const std::string& bad :
         {complete_response("no report"), complete_response("slowdown 5" + too_long),
          std::string("HTTP/1.1 500 Failed\r\nContent-Length: 10\r\n\r\nslowdown 5"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nslowdown 5"), std::string("\r\n\r\n"),
          std::string("HTTP/1.1 421 Other\r\nContent-Length: 10\r\n\r\nslowdown 5"), std::string(),
          std::string("HTTP/1.1 000 X\r\nContent-Length: 10\r\n\r\nslowdown 5"),
          std::string("HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 10\r\n\r\nslowdown 5"),
          std::string("HTTP/1.1 200 OK\r\n\r\nslowdown 5" + too_long),
          "HTTP/1.1 200 OK\r\nX: " + std::string(http::response_limits{}.head_bytes, 'x')}) {
        report_fixture fixture;
        fixture.first_answer = bad;
        fixture.start();
        fixture.run_requests(1);
        const std::size_t others = fixture.engines[1]->requests.size();
        fixture.run_until([&] { return fixture.engines[1]->requests.size() > others; });
        cr_assert(fixture.slow(0), "%.60s", bad.c_str());
        cr_assert(!fixture.metric("dragonflymill_upstream_reports_failed_total 0"), "%.60s", bad.c_str());
        fixture.first_answer = complete_response("slowdown 5");
        fixture.run_until([&] { return fixture.slow(1); });
    }
}

// Guards against requests to upstreams that have asked for a pause.
Test(upstream_report, engine_that_pushes_back_is_not_asked)
{
    report_fixture fixture;
    fixture.first_answer = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nPushback: 60\r\nContent-Length: 0\r\n\r\n";
    fixture.start();
    fixture.run_until([&] { return fixture.engines[1]->requests.size() >= 6; });
    cr_assert(fixture.engines[0]->requests.size() == 1, "%zu", fixture.engines[0]->requests.size());
}

// Guards against requests where upstreams publish no reports, or where the operator has turned them off.
Test(upstream_report, nothing_is_asked_without_a_reader_or_an_interval)
{
    for (const bool has_reader : {false, true}) {
        report_fixture fixture;
        fixture.settings.report_interval = has_reader ? duration::zero() : duration(100ms);
        if (!has_reader) {
            fixture.reports = {};
        }
        fixture.start();
        const instant end = runtime::now() + 600ms;
        fixture.run_until([&] { return runtime::now() > end; });
        for (const standin_upstream* engine : fixture.engines) {
            cr_assert(engine->requests.empty());
        }
        cr_assert(fixture.metric("dragonflymill_upstream_reports_asked_total 0"));
    }
}
