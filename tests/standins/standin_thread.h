#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <thread>

namespace dragonflymill::standins {

/// The one thread on which a stand-in lives, so that a paused or busy stand-in holds up no other.
class standin_thread
{
public:
    /// Starts the thread.
    standin_thread();
    standin_thread(const standin_thread&) = delete;
    auto operator=(const standin_thread&) -> standin_thread& = delete;
    ~standin_thread();

    /// Where the stand-in's handlers run.
    [[nodiscard]] auto io() -> boost::asio::io_context& { return io_; }
    /// Runs `task` on the thread and waits for it.
    void run(const std::function<void()>& task);
    /// Ends the thread after the handler that it is in; what waits is dropped with the thread's context.
    void stop();

private:
    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
    std::thread thread_;
};

} // namespace dragonflymill::standins
