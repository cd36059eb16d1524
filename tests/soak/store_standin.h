#pragma once

#include "support/standin_upstream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dragonflymill::soak {

/// Stand-in for the platform's metadata store with the operations that gateways use: listing and watching all
/// keys.
class store_standin
{
public:
    /// How the store responds to calls.
    enum class mood
    {
        well,    ///< Normally.
        busy,    ///< With 503.
        silent,  ///< Never.
        endless, ///< With a listing without end.
    };

    explicit store_standin(boost::asio::io_context& loop);

    /// Address and port on which the store listens.
    [[nodiscard]] auto address() const -> std::string { return server_.address(); }
    /// Writes a record and notifies pending watches.
    void put(const std::string& key, const std::string& value);
    /// Removes a record and notifies pending watches.
    void remove(const std::string& key);
    /// Sets how later calls are answered. A record that changes while the store is not `well` drops the
    /// pending watches without a response.
    void set_mood(mood now) { mood_ = now; }
    /// Compacts the history: a watch from an earlier revision gets 410 and has to list again.
    void forget_history() { history_from_ = revision_; }

private:
    struct record
    {
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
    };
    struct watch
    {
        std::shared_ptr<test_support::taken_connection> connection;
        std::uint64_t after = 0;
        std::unique_ptr<boost::asio::steady_timer> end;
    };

    void answer(test_support::taken_connection& call);
    void send_without_end(const std::shared_ptr<test_support::taken_connection>& call,
                          const std::string& head);
    void answer_watch(const std::shared_ptr<test_support::taken_connection>& call, std::uint64_t after);
    [[nodiscard]] auto changes(std::uint64_t after) const -> std::string;
    void changed();

    boost::asio::io_context& loop_;
    test_support::standin_upstream server_;
    std::map<std::string, record> items_;
    std::vector<watch> watches_;
    std::uint64_t revision_ = 1;
    std::uint64_t history_from_ = 0;
    mood mood_ = mood::well;
};

} // namespace dragonflymill::soak
