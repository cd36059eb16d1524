#pragma once

#include "dragonflymill/direct/peer_table.h"
#include "dragonflymill/direct/report_schedule.h"
#include "dragonflymill/direct/upstream_availability.h"
#include "dragonflymill/direct/upstream_list.h"
#include "dragonflymill/direct/upstream_speeds.h"
#include "edge/gateway_metrics.h"
#include "edge/loop_timers.h"
#include "edge/statement_recorder.h"
#include "edge/upstream_reports.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace dragonflymill::edge {

/// Asks upstreams for their reports and records what these say about their speed.
class report_poller
{
public:
    /// What the poller works with; it must outlive the poller.
    struct parts
    {
        boost::asio::io_context& loop;
        loop_timers& timers;
        const report_reader& reader;
        const direct::upstream_list& fleet;
        const direct::upstream_availability& availability;
        const direct::peer_table& peers;
        direct::upstream_speeds& speeds;
        statement_recorder& statements;
        gateway_metrics& metrics;
    };

    /// `self` is this gateway's name as its peers know it; `interval` the time between two requests to an
    /// upstream, and 0 if none is asked.
    report_poller(parts context, const std::string& self, duration interval);
    ~report_poller();
    report_poller(const report_poller&) = delete;
    auto operator=(const report_poller&) -> report_poller& = delete;

    /// Sends the requests that are due. Call it on each tick.
    void tick(instant now);

    /// Time between two looks at the upstreams; ticks in between do nothing.
    static constexpr duration look_interval = 100ms;
    /// Reports are answered within a few milliseconds without a slot; one that takes longer is of no use.
    static constexpr duration report_timeout = 500ms;
    /// Maximum size of a report, so that an upstream can't fill this gateway's memory.
    static constexpr std::size_t max_report_bytes = 65'536;

private:
    class report_call;

    [[nodiscard]] auto reportable_upstreams(instant now) const -> std::vector<direct::reportable_upstream>;
    void ask(const std::string& upstream);
    void on_report(const direct::upstream_entry& upstream, const std::string& body, instant now);
    void on_failure(const direct::upstream_entry& upstream, const std::string& why);

    parts context_;
    duration interval_;
    direct::report_schedule schedule_;
    std::unordered_map<std::string, std::shared_ptr<report_call>> calls_; // by id of the upstream
    instant looked_at_{};
};

} // namespace dragonflymill::edge
