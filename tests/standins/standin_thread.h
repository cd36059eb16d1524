#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <thread>

namespace dragonflymill::standins {

/// Thread of one stand-in. Each stand-in has its own, so that a paused or busy one doesn't block others.
class standin_thread
{
public:
    /// Starts the thread.
    standin_thread();
    standin_thread(const standin_thread&) = delete;
    auto operator=(const standin_thread&) -> standin_thread& = delete;
    ~standin_thread();

    /// Context that runs the handlers.
    [[nodiscard]] auto io() -> boost::asio::io_context& { return io_; }
    /// Runs `task` on the thread and waits until it is done.
    void run(const std::function<void()>& task);
    /// Joins the thread after the handler that is running. Pending handlers don't run; they are destroyed
    /// with the context.
    void stop();

private:
    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
    std::thread thread_;
};

} // namespace dragonflymill::standins
