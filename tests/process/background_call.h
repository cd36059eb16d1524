#pragma once

#include "standins/http_client.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <thread>

namespace dragonflymill::test {

/// An HTTP call, streamed or not, that runs on its own thread.
class background_call
{
public:
    /// Sends the call immediately.
    explicit background_call(standins::http_call call)
        : thread_([this, call = std::make_shared<const standins::http_call>(std::move(call))] { run(call); })
    {
    }
    background_call(const background_call&) = delete;
    auto operator=(const background_call&) -> background_call& = delete;
    ~background_call() { join(); }

    /// Bytes of the response body received so far.
    [[nodiscard]] auto received() const -> std::size_t { return received_; }
    /// Waits for the response, at most until the call's own timeout.
    [[nodiscard]] auto answer() -> const standins::http_answer&
    {
        join();
        return answer_;
    }

private:
    void run(const std::shared_ptr<const standins::http_call>& call)
    {
        boost::asio::io_context io;
        std::string body;
        const auto on_data = [&](std::string_view bytes) {
            body += bytes;
            received_ = body.size();
        };
        standins::start_call(io, call, on_data, [&](const auto& answer) { answer_ = answer; });
        io.run();
        answer_.body = std::move(body);
    }
    void join()
    {
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    standins::http_answer answer_;
    std::atomic<std::size_t> received_ = 0;
    std::thread thread_; // last: the thread uses the other members
};

} // namespace dragonflymill::test
