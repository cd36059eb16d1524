#pragma once

#include "edge/loop_timers.h"
#include "edge/upstream_call.h"
#include "edge/upstream_orders.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflymill::edge {

/// KV cache reserved at several engines for one call: all pieces or none.
///
/// Each piece is a short lease that the gateway renews while the call runs. The memory is therefore freed
/// when the gateway dies, when a release is lost, or when an engine executes an order late. A call that
/// doesn't get all pieces at once releases the others instead of waiting, so gateways that compete for the
/// same engines can't deadlock.
class memory_reservation : public std::enable_shared_from_this<memory_reservation>
{
public:
    /// Reservation at one engine.
    struct piece
    {
        std::string address;     ///< Address of the engine.
        std::int64_t tokens = 0; ///< KV cache to reserve, in tokens.
    };
    /// Result of a reservation.
    struct outcome
    {
        bool succeeded = false;               ///< Whether all pieces are reserved.
        std::vector<std::string> unreachable; ///< Addresses of engines that couldn't be reached.

        friend auto operator==(const outcome&, const outcome&) -> bool = default;
    };
    /// Called once with the result.
    using handler = std::function<void(const outcome&)>;
    /// Called with the head of each response of the engine at an address to an order sent at `sent_at`.
    using response_observer =
        std::function<void(const std::string& address, const http::response_head& head, instant sent_at)>;

    memory_reservation(boost::asio::io_context& loop, loop_timers& timers, const upstream_orders& orders,
                       std::string name, std::vector<piece> pieces, response_observer on_response);
    ~memory_reservation();
    memory_reservation(const memory_reservation&) = delete;
    auto operator=(const memory_reservation&) -> memory_reservation& = delete;

    /// Sends the reservations; calls `done` when all engines have replied or timed out.
    void start(handler done);
    /// Releases all pieces.
    void release();
    /// Name of the reservation at the engines.
    [[nodiscard]] auto name() const -> const std::string& { return name_; }

    /// Length of the lease. Engines may execute an unanswered order up to twelve seconds late; this bounds
    /// how long such an orphaned reservation lasts.
    static constexpr duration lease_time = 3s;
    /// A third of the lease, so that a lost renewal is followed by another one in time.
    static constexpr duration renew_interval = 1s;
    /// Engines answer an order within a few milliseconds; one that takes longer counts as refused.
    static constexpr duration order_timeout = 300ms;

private:
    class order_call;
    enum class order_end
    {
        done,
        refused,
        unreachable,
    };

    void send_order(const piece& part, std::string request, std::function<void(order_end)> done);
    void on_order_finished(const piece& part, order_end end);
    void schedule_renewal();
    void send_all();

    boost::asio::io_context& loop_;
    loop_timers& timers_;
    const upstream_orders& orders_;
    std::string name_;
    std::vector<piece> pieces_;
    response_observer on_response_;
    handler done_;
    std::size_t pending_orders_ = 0;
    outcome outcome_{true, {}};
    bool released_ = false;
    std::optional<timer_id> renew_timer_;
};

} // namespace dragonflymill::edge
