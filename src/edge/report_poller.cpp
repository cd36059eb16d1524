#include "edge/report_poller.h"

#include "edge/upstream_call.h"
#include "log/logger.h"
#include "runtime/clock.h"

#include <utility>

namespace dragonflymill::edge {

namespace {

constexpr unsigned status_ok = 200;
/// Takes the place of a request's id in the log.
constexpr const char* report_request_name = "report";

} // namespace

/// A request in flight. Ends once: with a report, with a failure, or when the poller cancels it.
class report_poller::report_call : public response_handler, public std::enable_shared_from_this<report_call>
{
public:
    report_call(report_poller& poller, direct::upstream_entry upstream)
        : poller_(&poller)
        , upstream_(std::move(upstream))
        , call_(std::make_shared<upstream_call>(poller.context_.loop, poller.context_.timers, *this))
    {
    }

    void start(std::string request)
    {
        sent_at_ = runtime::now();
        timer_ = poller_->context_.timers.at(sent_at_ + report_timeout, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->timer_.reset();
                self->fail("no report within its limit");
            }
        });
        call_->start(upstream_.address, {std::move(request), {}}, false);
    }
    /// Closes the connection; nothing is recorded any more.
    void cancel()
    {
        call_->cancel();
        if (timer_) {
            poller_->context_.timers.cancel(*timer_);
            timer_.reset();
        }
    }

    auto on_response_head(const http::response_head& head) -> bool override
    {
        poller_->context_.statements.record_order_response(head, upstream_, report_request_name, sent_at_,
                                                           runtime::now());
        if (head.status != status_ok) {
            fail("status " + std::to_string(head.status));
            return false;
        }
        return true;
    }
    void on_response_body(const std::string& bytes) override
    {
        if (body_.size() + bytes.size() > max_report_bytes) {
            fail("the report is too long");
            return;
        }
        body_ += bytes;
    }
    void on_response_complete() override
    {
        const auto self = shared_from_this();
        cancel();
        poller_->on_report(upstream_, body_, runtime::now());
    }
    void on_response_failed(direct::attempt_end /*end*/, const std::string& why) override { fail(why); }

private:
    void fail(const std::string& why)
    {
        const auto self = shared_from_this();
        cancel();
        poller_->on_failure(upstream_, why);
    }

    report_poller* poller_;
    direct::upstream_entry upstream_; // as it was when asked
    std::shared_ptr<upstream_call> call_;
    std::optional<timer_id> timer_;
    std::string body_;
    instant sent_at_{};
};

report_poller::report_poller(parts context, const std::string& self, duration interval)
    : context_(context)
    , interval_(interval)
    , schedule_(self, interval)
{
}

report_poller::~report_poller()
{
    for (const auto& [upstream, call] : calls_) {
        call->cancel();
    }
}

void report_poller::tick(instant now)
{
    const bool is_off = interval_ == duration::zero() || !context_.reader.request;
    if (is_off || now - looked_at_ < look_interval) {
        return;
    }
    looked_at_ = now;
    // A gateway that leaves asks no more.
    schedule_.set_peers(context_.peers.reachable(now));
    for (const std::string& upstream : schedule_.due(reportable_upstreams(now), context_.speeds, now)) {
        ask(upstream);
    }
}

auto report_poller::reportable_upstreams(instant now) const -> std::vector<direct::reportable_upstream>
{
    std::vector<direct::reportable_upstream> found;
    if (context_.fleet.config() == nullptr) {
        return found;
    }
    for (const direct::service_rule& service : context_.fleet.config()->services()) {
        if (!service.engine || !service.engine->report_lag) {
            continue;
        }
        for (const direct::upstream_state* upstream :
             context_.availability.accepting_upstreams(context_.fleet, service.name, true, now)) {
            // A pushback and a rate limit ask for less of everything, not for fewer calls only.
            if (context_.availability.available_at(context_.fleet, *upstream, now) <= now) {
                found.push_back({upstream->entry.id, direct::run_of(upstream->entry)});
            }
        }
    }
    return found;
}

void report_poller::ask(const std::string& upstream)
{
    const direct::upstream_entry& entry = context_.fleet.upstreams().at(upstream).entry;
    auto call = std::make_shared<report_call>(*this, entry);
    calls_[upstream] = call;
    context_.metrics.reports_asked.add();
    call->start(context_.reader.request(entry.address));
}

void report_poller::on_report(const direct::upstream_entry& upstream, const std::string& body, instant now)
{
    const auto report = context_.reader.decode(body);
    if (!report) {
        on_failure(upstream, "the report can't be read");
        return;
    }
    calls_.erase(upstream.id);
    schedule_.finished(upstream.id);
    const auto config = context_.fleet.config();
    const direct::service_rule* service =
        config == nullptr ? nullptr : config->find_service(upstream.service);
    if (report->slowdown && service != nullptr && service->engine) {
        const duration lag = service->engine->report_lag.value_or(duration::zero());
        context_.speeds.observe_stated(direct::run_of(upstream), *report->slowdown, now - lag);
    }
}

void report_poller::on_failure(const direct::upstream_entry& upstream, const std::string& why)
{
    calls_.erase(upstream.id);
    schedule_.finished(upstream.id);
    context_.metrics.reports_failed.add();
    log_event(event::upstream_report_failed, field("upstream", upstream.id), field("why", why));
}

} // namespace dragonflymill::edge
