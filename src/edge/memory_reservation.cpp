#include "edge/memory_reservation.h"

#include "runtime/clock.h"

#include <utility>

namespace dragonflymill::edge {

namespace {

constexpr unsigned status_ok = 200;

} // namespace

/// An order in flight; keeps itself alive until it is answered or times out.
class memory_reservation::order_call : public response_handler,
                                       public std::enable_shared_from_this<order_call>
{
public:
    order_call(boost::asio::io_context& loop, loop_timers& timers, response_observer on_response,
               std::function<void(order_end)> done)
        : timers_(timers)
        , call_(std::make_shared<upstream_call>(loop, timers, *this))
        , on_response_(std::move(on_response))
        , done_(std::move(done))
    {
    }

    void start(const std::string& address, std::string request)
    {
        timer_ = timers_.at(runtime::now() + order_timeout, [self = shared_from_this()] {
            self->timer_.reset();
            self->end(order_end::refused);
        });
        address_ = address;
        sent_at_ = runtime::now();
        call_->start(address, {std::move(request), {}}, false);
    }

    auto on_response_head(const http::response_head& head) -> bool override
    {
        on_response_(address_, head, sent_at_);
        status_ = head.status;
        return true;
    }
    void on_response_body(const std::string& /*bytes*/) override {}
    void on_response_complete() override { end(status_ == status_ok ? order_end::done : order_end::refused); }
    void on_response_failed(direct::attempt_end end, const std::string& /*why*/) override
    {
        this->end(end == direct::attempt_end::not_sent ? order_end::unreachable : order_end::refused);
    }

private:
    void end(order_end outcome)
    {
        const auto self = shared_from_this();
        call_->cancel();
        if (timer_) {
            timers_.cancel(*timer_);
            timer_.reset();
        }
        if (const auto done = std::exchange(done_, nullptr)) {
            done(outcome);
        }
    }

    loop_timers& timers_;
    std::shared_ptr<upstream_call> call_;
    response_observer on_response_;
    std::function<void(order_end)> done_;
    std::string address_;
    instant sent_at_{};
    std::optional<timer_id> timer_;
    unsigned status_ = 0;
};

memory_reservation::memory_reservation(boost::asio::io_context& loop, loop_timers& timers,
                                       const upstream_orders& orders, std::string name,
                                       std::vector<piece> pieces, response_observer on_response)
    : loop_(loop)
    , timers_(timers)
    , orders_(orders)
    , name_(std::move(name))
    , pieces_(std::move(pieces))
    , on_response_(std::move(on_response))
{
}

memory_reservation::~memory_reservation()
{
    if (renew_timer_) {
        timers_.cancel(*renew_timer_);
    }
}

void memory_reservation::start(handler done)
{
    done_ = std::move(done);
    send_all();
}

void memory_reservation::send_all()
{
    pending_orders_ += pieces_.size();
    for (const piece& part : pieces_) {
        send_order(part, orders_.reserve({part.address, name_, part.tokens, lease_time}),
                   [self = shared_from_this(), part](order_end end) { self->on_order_finished(part, end); });
    }
}

void memory_reservation::send_order(const piece& part, std::string request,
                                    std::function<void(order_end)> done)
{
    const auto call = std::make_shared<order_call>(loop_, timers_, on_response_, std::move(done));
    call->start(part.address, std::move(request));
}

void memory_reservation::on_order_finished(const piece& part, order_end end)
{
    --pending_orders_;
    outcome_.succeeded = outcome_.succeeded && end == order_end::done;
    if (end == order_end::unreachable) {
        outcome_.unreachable.push_back(part.address);
    }
    if (pending_orders_ > 0 || released_ || !done_) {
        return;
    }
    const handler done = std::exchange(done_, nullptr);
    if (outcome_.succeeded) {
        schedule_renewal();
    }
    else {
        release();
    }
    done(outcome_);
}

void memory_reservation::schedule_renewal()
{
    renew_timer_ = timers_.at(runtime::now() + renew_interval, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->released_) {
            return;
        }
        self->renew_timer_.reset();
        self->send_all();
        self->schedule_renewal();
    });
}

void memory_reservation::release()
{
    if (std::exchange(released_, true)) {
        return;
    }
    if (renew_timer_) {
        timers_.cancel(*renew_timer_);
        renew_timer_.reset();
    }
    for (const piece& part : pieces_) {
        // If the release is lost, the lease expires.
        send_order(part, orders_.release({part.address, name_}), [](order_end) {});
    }
}

} // namespace dragonflymill::edge
