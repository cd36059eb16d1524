#include "log/logger.h"

#include "dragonflymill/core/assert.h"
#include "log/log_line.h"

#include <atomic>
#include <boost/log/attributes/attribute_value_impl.hpp>
#include <boost/log/attributes/value_extraction.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/make_shared.hpp>
#include <cstdio>
#include <ext/stdio_filebuf.h>
#include <fstream>
#include <future>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace dragonflymill {

namespace {

constexpr std::size_t queue_capacity = 8192;
constexpr int logging_off = 1000;
/// Maximum time to write queued events when the logger is destroyed; a full queue takes a few milliseconds.
constexpr auto close_timeout = std::chrono::milliseconds(500);
constexpr const char* record_attribute = "Record";

// State of the single logger of the process. Boost.Log's core is global, so there can't be two.
std::atomic<int> enabled_level{logging_off};
std::atomic<std::uint64_t> drop_count{0};
std::atomic<std::uint64_t> reported_drop_count{0}; // dropped events already reported in the log

/// Drops events while the queue is full, since a request that waits for a slow disk or terminal could miss
/// its deadline.
class drop_on_overflow
{
public:
    template <typename Lock>
    static auto on_overflow(const boost::log::record_view& /*record*/, Lock& /*lock*/) -> bool
    {
        drop_count.fetch_add(1, std::memory_order_relaxed);
        return false;
    }
    static void on_queue_space_available() {}
    static void interrupt() {}
};

using backend = boost::log::sinks::text_ostream_backend;
using frontend = boost::log::sinks::asynchronous_sink<
    backend, boost::log::sinks::bounded_fifo_queue<queue_capacity, drop_on_overflow>>;

auto wall_now() -> wall_instant
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return wall_instant(std::chrono::duration_cast<duration>(since_epoch));
}

/// Standard output without the lock of `std::cout`. The writer may block on a full pipe without a reader, and
/// process exit flushes `std::cout`, which would then block as well.
class standard_output : public std::ostream
{
public:
    standard_output()
        : std::ostream(nullptr)
        , buffer_(STDOUT_FILENO, std::ios::out)
    {
        rdbuf(&buffer_);
    }

private:
    __gnu_cxx::stdio_filebuf<char> buffer_;
};

auto open_stream(const std::string& file) -> result<boost::shared_ptr<std::ostream>>
{
    if (file.empty()) {
        return boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream*) {});
    }
    if (file == standard_output_file) {
        return boost::shared_ptr<std::ostream>(boost::make_shared<standard_output>());
    }
    auto stream = boost::make_shared<std::ofstream>(file, std::ios::app);
    if (!*stream) {
        return error(error_kind::unavailable, "the log file '" + file + "' can't be opened",
                     "check that its directory exists and is writable");
    }
    return boost::shared_ptr<std::ostream>(std::move(stream));
}

} // namespace

struct logger::state
{
    boost::shared_ptr<frontend> sink;
};

auto logger::start(const log_settings& settings) -> result<logger>
{
    if (enabled_level.load() != logging_off) {
        return error(error_kind::conflict, "logging is already started", "start only one logger per process");
    }
    auto stream = open_stream(settings.file);
    if (!stream) {
        return std::move(stream).error();
    }
    auto writer = boost::make_shared<backend>();
    writer->add_stream(stream.value());
    writer->auto_flush(true);
    auto opened = std::make_unique<state>();
    opened->sink = boost::make_shared<frontend>(writer);
    opened->sink->set_formatter(
        [process = settings.process, format = settings.format](const boost::log::record_view& view,
                                                               boost::log::formatting_ostream& out) {
            const auto record = boost::log::extract<log_record>(record_attribute, view);
            if (record) {
                out << log_line(record.get(), process, format);
            }
        });
    boost::log::core::get()->add_sink(opened->sink);
    drop_count.store(0);
    reported_drop_count.store(0);
    enabled_level.store(static_cast<int>(settings.level));
    return logger(std::move(opened));
}

logger::logger(std::unique_ptr<state> opened)
    : state_(std::move(opened))
{
}

logger::logger(logger&& other) noexcept = default;

auto logger::operator=(logger&& other) noexcept -> logger&
{
    DRAGONFLYMILL_ASSERT(state_ == nullptr || state_ == other.state_, "at most one logger may exist");
    state_ = std::move(other.state_);
    return *this;
}

logger::~logger()
{
    if (state_ == nullptr) {
        return;
    }
    enabled_level.store(logging_off);
    // Closed on a separate thread: the writer may block on a full pipe without a reader, which would prevent
    // the process from exiting. Events not written before the timeout are lost.
    auto closed = std::make_shared<std::promise<void>>();
    auto done = closed->get_future();
    std::thread([closed, sink = state_->sink] {
        try {
            boost::log::core::get()->remove_sink(sink);
            sink->stop();
            sink->flush();
        }
        catch (...) {
            std::fputs("the log could not be closed; its last lines may be missing\n", stderr);
        }
        closed->set_value();
    }).detach();
    done.wait_for(close_timeout);
}

void logger::flush()
{
    state_->sink->flush();
}

auto logger::dropped() const -> std::uint64_t
{
    return drop_count.load();
}

auto log_enabled(log_level level) -> bool
{
    return static_cast<int>(level) >= enabled_level.load(std::memory_order_relaxed);
}

namespace {

void push_event(event id, std::vector<log_field> fields)
{
    thread_local boost::log::sources::logger source;
    boost::log::record record = source.open_record();
    if (!record) {
        return;
    }
    record.attribute_values().insert(record_attribute, boost::log::attributes::make_attribute_value(
                                                           log_record{id, wall_now(), std::move(fields)}));
    source.push_record(std::move(record));
}

} // namespace

void detail::queue_event(event id, std::vector<log_field> fields)
{
    push_event(id, std::move(fields));
    const auto dropped = drop_count.load(std::memory_order_relaxed);
    const auto reported = reported_drop_count.exchange(dropped, std::memory_order_relaxed);
    if (dropped > reported) {
        push_event(event::log_dropped, {field("events", dropped - reported)});
    }
}

} // namespace dragonflymill
