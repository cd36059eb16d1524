#pragma once

#include "sidecar/shell_event.h"

#include <functional>
#include <grpcpp/support/server_callback.h>
#include <memory>
#include <mutex>
#include <utility>

namespace dragonflymill::sidecar {

/// Server side of one unary call, which the decision thread answers later.
template <typename Reply>
class unary_reactor final : public grpc::ServerUnaryReactor
{
public:
    /// Creates the reactor of a call; it owns itself until the call is done. `on_cancel` is called when the
    /// gateway cancels the call, `on_done` when the call is done.
    static auto open(Reply* reply, std::function<void()> on_cancel, std::function<void()> on_done)
        -> std::shared_ptr<unary_reactor>
    {
        std::shared_ptr<unary_reactor> reactor(
            new unary_reactor(reply, std::move(on_cancel), std::move(on_done)));
        reactor->self_ = reactor;
        return reactor;
    }

    /// Answers the call; further answers are ignored.
    void answer(Reply reply)
    {
        const std::lock_guard lock(mutex_);
        if (finished_) {
            return;
        }
        finished_ = true;
        *reply_ = std::move(reply);
        Finish(grpc::Status::OK);
    }

    void OnCancel() override
    {
        on_cancel_();
        const std::lock_guard lock(mutex_);
        if (!finished_) {
            finished_ = true;
            Finish(grpc::Status::CANCELLED);
        }
    }

    void OnDone() override
    {
        on_done_();
        const auto self = std::move(self_); // releases the reference that kept the reactor alive
    }

private:
    unary_reactor(Reply* reply, std::function<void()> on_cancel, std::function<void()> on_done)
        : reply_(reply)
        , on_cancel_(std::move(on_cancel))
        , on_done_(std::move(on_done))
    {
    }

    Reply* reply_;
    std::function<void()> on_cancel_;
    std::function<void()> on_done_;
    std::shared_ptr<unary_reactor> self_; // keeps the reactor alive until OnDone
    std::mutex mutex_;
    bool finished_ = false;
};

} // namespace dragonflymill::sidecar
