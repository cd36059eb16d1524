#include "edge/memory_reservation.h"

#include "runtime/clock.h"

#include <utility>

namespace dragonflymill::edge {

namespace {

constexpr unsigned status_ok = 200;

} // namespace

/// One order on its way; keeps itself alive until it is answered or given up.
class memory_reservation::order_call : public answer_receiver, public std::enable_shared_from_this<order_call>
{
public:
    order_call(boost::asio::io_context& loop, loop_timers& timers, std::function<void(order_end)> done)
        : timers_(timers)
        , call_(std::make_shared<upstream_call>(loop, timers, *this))
        , done_(std::move(done))
    {
    }

    void start(const std::string& address, std::string request)
    {
        timer_ = timers_.at(runtime::now() + order_limit, [self = shared_from_this()] {
            self->timer_.reset();
            self->end(order_end::refused);
        });
        call_->start(address, std::move(request), false);
    }

    auto answer_head_came(const answer_head& head) -> bool override
    {
        status_ = head.status;
        return true;
    }
    void answer_body_came(const std::string& /*bytes*/) override {}
    void answer_completed() override { end(status_ == status_ok ? order_end::done : order_end::refused); }
    void answer_failed(direct::attempt_end end, const std::string& /*why*/) override
    {
        this->end(end == direct::attempt_end::not_sent ? order_end::unreachable : order_end::refused);
    }

private:
    void end(order_end ended)
    {
        const auto self = shared_from_this();
        call_->cancel();
        if (timer_) {
            timers_.cancel(*timer_);
            timer_.reset();
        }
        if (const auto done = std::exchange(done_, nullptr)) {
            done(ended);
        }
    }

    loop_timers& timers_;
    std::shared_ptr<upstream_call> call_;
    std::function<void(order_end)> done_;
    std::optional<timer_id> timer_;
    unsigned status_ = 0;
};

memory_reservation::memory_reservation(boost::asio::io_context& loop, loop_timers& timers,
                                       const upstream_orders& orders, std::string name,
                                       std::vector<piece> pieces)
    : loop_(loop)
    , timers_(timers)
    , orders_(orders)
    , name_(std::move(name))
    , pieces_(std::move(pieces))
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
    waiting_ += pieces_.size();
    for (const piece& part : pieces_) {
        const auto call = std::make_shared<order_call>(
            loop_, timers_, [self = shared_from_this(), part](order_end end) { self->answered(part, end); });
        call->start(part.address, orders_.reserve({part.address, name_, part.tokens, hold}));
    }
}

void memory_reservation::answered(const piece& part, order_end end)
{
    --waiting_;
    outcome_.held = outcome_.held && end == order_end::done;
    if (end == order_end::unreachable) {
        outcome_.unreachable.push_back(part.address);
    }
    if (waiting_ > 0 || released_ || !done_) {
        return;
    }
    const handler done = std::exchange(done_, nullptr);
    if (outcome_.held) {
        renew();
    }
    else {
        release();
    }
    done(outcome_);
}

void memory_reservation::renew()
{
    renew_timer_ = timers_.at(runtime::now() + renew_interval, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->released_) {
            return;
        }
        self->renew_timer_.reset();
        self->send_all();
        self->renew();
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
        // A release that is lost is made up for by the end of the lease.
        const auto call = std::make_shared<order_call>(loop_, timers_, [](order_end) {});
        call->start(part.address, orders_.release({part.address, name_}));
    }
}

} // namespace dragonflymill::edge
