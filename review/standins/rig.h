// Stand-ins for one case: the platform's store, replicas, clients and the bench of a small deployment, in one
// process. The gateways are processes of their own, started with the command of the deploy file.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using fields = std::map<std::string, std::string>; // by name in lower case

/// Milliseconds since the start of the rig.
auto now_ms() -> std::int64_t;
void sleep_ms(std::int64_t ms);

/// Appends a line with a time stamp to the record and to standard output.
void note(const std::string& line);
/// Opens the record; false if it can't be written.
auto open_record(const std::string& file) -> bool;

/// A request or an answer as read from a socket.
struct message
{
    std::string first;     ///< First line.
    fields head;           ///< Header fields.
    std::string body;      ///< Body.
    bool complete = false; ///< Whether it was read to its end.
    bool any = false;      ///< Whether any byte was read.

    [[nodiscard]] auto field(const std::string& lower_name) const -> std::string;
    /// Status of an answer, 0 if there is none.
    [[nodiscard]] auto status() const -> int;
    /// Path and query of a request.
    [[nodiscard]] auto target() const -> std::string;
};

/// A TCP connection with a read buffer.
class connection
{
public:
    explicit connection(int socket)
        : socket_(socket)
    {
    }
    ~connection();
    connection(const connection&) = delete;
    auto operator=(const connection&) -> connection& = delete;

    /// Connects to `address` (IP:PORT); null if that fails.
    static auto open(const std::string& address, int timeout_ms) -> std::unique_ptr<connection>;
    /// Reads one message; `answer` tells whether it is an answer, which may end with the connection.
    auto read(bool answer, int timeout_ms) -> message;
    auto write(const std::string& bytes) -> bool;
    /// Closes with a reset.
    void reset();
    [[nodiscard]] auto socket() const -> int { return socket_; }

private:
    auto fill(std::int64_t until) -> bool;

    int socket_;
    std::string in_;
};

/// Answers each connection in a thread of its own.
class server
{
public:
    using handler = std::function<void(connection&)>;

    server(const std::string& ip, int port, handler handle);
    ~server();
    [[nodiscard]] auto address() const -> std::string { return address_; }
    [[nodiscard]] auto listening() const -> bool { return listener_ >= 0; }
    /// Stops listening: new connections are refused. Open ones are left to the handlers.
    void close();
    /// Listens again.
    void open();

private:
    int listener_ = -1;
    std::string address_;
    handler handle_;
    std::thread thread_;
};

/// The platform's metadata store.
class store
{
public:
    store(const std::string& ip, int port);
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    [[nodiscard]] auto address() const -> std::string { return server_->address(); }
    [[nodiscard]] auto listening() const -> bool { return server_->listening(); }

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        bool deleted = false;
    };
    void serve(connection& caller);
    auto item_json(const std::string& key, const item& what) const -> std::string;

    std::mutex mutex_;
    std::map<std::string, item> items_;
    std::uint64_t revision_ = 100;
    std::unique_ptr<server> server_;
};

/// What a replica saw.
struct run
{
    std::string server;
    std::string request;
    std::int64_t at_ms = 0;
};

/// Runs of all replicas, as the bench would see them.
class run_list
{
public:
    void add(const std::string& server, const std::string& request);
    [[nodiscard]] auto count(const std::string& request) -> int;
    [[nodiscard]] auto total() -> int;

private:
    std::mutex mutex_;
    std::vector<run> runs_;
};

/// A sound replica of a plain service.
class replica
{
public:
    replica(std::string id, std::string service, std::string zone, const std::string& ip, int port, int slots,
            run_list& runs);
    /// Its entry in the store.
    [[nodiscard]] auto entry() const -> std::string;
    [[nodiscard]] auto id() const -> const std::string& { return id_; }
    [[nodiscard]] auto address() const -> std::string { return server_->address(); }
    [[nodiscard]] auto listening() const -> bool { return server_->listening(); }

    std::atomic<int> work_ms{15};
    /// Share of its requests, in hundredths, that it runs and then answers with `failure`, without a word on
    /// whether they ran. Its health check stays good.
    std::atomic<int> failing_percent{0};
    std::string failure = "503 Service Unavailable";

private:
    void serve(connection& caller);

    std::string id_;
    std::string service_;
    std::string zone_;
    int slots_;
    run_list& runs_;
    std::atomic<int> busy_{0};
    std::atomic<int> sequence_{0};
    std::atomic<int> failing_sum_{0};
    std::unique_ptr<server> server_;
};

/// A gateway process, started with the command of the deploy file.
class gateway
{
public:
    gateway(std::string name, std::string ip, std::string zone);
    ~gateway();
    /// Writes the settings file.
    void configure(const std::string& folder, const std::string& store_address,
                   const std::vector<std::string>& seeds);
    auto start() -> bool;
    void signal(int number) const;
    /// Kills the process and waits for its end.
    void kill();
    /// Whether the process has ended by itself; collects it.
    auto ended() -> bool;
    [[nodiscard]] auto ready() const -> bool;
    [[nodiscard]] auto front() const -> std::string { return ip_ + ":8227"; }
    [[nodiscard]] auto name() const -> const std::string& { return name_; }

private:
    std::string name_;
    std::string ip_;
    std::string zone_;
    std::string settings_;
    std::string log_;
    pid_t pid_ = -1;
};

/// A configuration with one route, `/book/` of `desk.example`, for bookings that aren't idempotent.
auto booking_config() -> std::string;

/// Loopback network of this run, such as `127.20.7.`.
auto network() -> std::string;
auto wait_ready(std::vector<std::unique_ptr<gateway>>& gateways, int timeout_ms) -> bool;

} // namespace review
