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

/// Memory of several engines that one call holds: all of it or none.
///
/// Each piece is a short lease that the gateway renews while the call runs, so that the memory comes back by
/// itself when the gateway dies, when a release is lost, and when an engine carries an order out late. No
/// piece is waited for: a call that doesn't get all pieces gives the others back, so two gateways that want
/// the same engines can't wait for each other for good.
class memory_reservation : public std::enable_shared_from_this<memory_reservation>
{
public:
    /// One engine's part.
    struct piece
    {
        std::string address;     ///< Engine.
        std::int64_t tokens = 0; ///< How much of its memory.
    };
    /// What became of a reservation.
    struct outcome
    {
        bool held = false;                    ///< Whether all pieces are.
        std::vector<std::string> unreachable; ///< Addresses of engines that could not be reached.

        friend auto operator==(const outcome&, const outcome&) -> bool = default;
    };
    /// Called once.
    using handler = std::function<void(const outcome&)>;

    memory_reservation(boost::asio::io_context& loop, loop_timers& timers, const upstream_orders& orders,
                       std::string name, std::vector<piece> pieces);
    ~memory_reservation();
    memory_reservation(const memory_reservation&) = delete;
    auto operator=(const memory_reservation&) -> memory_reservation& = delete;

    /// Asks for all pieces.
    void start(handler done);
    /// Gives everything back.
    void release();
    /// Name under which the pieces are held.
    [[nodiscard]] auto name() const -> const std::string& { return name_; }

    /// Length of the lease. Engines may carry an unanswered order out twelve seconds late; memory that is
    /// then held for nobody is free again after this.
    static constexpr duration hold = 3s;
    /// Renewed three times within the lease, so that one lost order does no cost.
    static constexpr duration renew_interval = 1s;
    /// An engine answers an order within a few milliseconds; one that takes longer is given up.
    static constexpr duration order_limit = 300ms;

private:
    class order_call;
    enum class order_end
    {
        done,
        refused,
        unreachable,
    };

    void answered(const piece& part, order_end end);
    void renew();
    void send_all();

    boost::asio::io_context& loop_;
    loop_timers& timers_;
    const upstream_orders& orders_;
    std::string name_;
    std::vector<piece> pieces_;
    handler done_;
    std::size_t waiting_ = 0;
    outcome outcome_{true, {}};
    bool released_ = false;
    std::optional<timer_id> renew_timer_;
};

} // namespace dragonflymill::edge
