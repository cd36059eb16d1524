#include "standins/standin_thread.h"

#include <boost/asio/post.hpp>
#include <future>

namespace dragonflymill::standins {

standin_thread::standin_thread()
    : guard_(boost::asio::make_work_guard(io_))
    , thread_([this] { io_.run(); })
{
}

standin_thread::~standin_thread()
{
    stop();
}

void standin_thread::stop()
{
    guard_.reset();
    io_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void standin_thread::run(const std::function<void()>& task)
{
    std::promise<void> done;
    boost::asio::post(io_, [&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace dragonflymill::standins
