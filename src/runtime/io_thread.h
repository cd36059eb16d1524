#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

namespace dragonflymill::runtime {

/// Runs an I/O context on a single thread; handlers on that context need no locks.
class io_thread
{
public:
    io_thread()
        : work_(boost::asio::make_work_guard(context_))
    {
    }
    ~io_thread() { stop(); }
    io_thread(const io_thread&) = delete;
    auto operator=(const io_thread&) -> io_thread& = delete;

    /// Starts the thread.
    void start()
    {
        thread_ = std::thread([this] { context_.run(); });
    }

    /// Stops the context and joins the thread; pending operations are abandoned.
    void stop()
    {
        work_.reset();
        context_.stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    /// Context for the sockets and timers of this thread.
    [[nodiscard]] auto context() -> boost::asio::io_context& { return context_; }

private:
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

} // namespace dragonflymill::runtime
