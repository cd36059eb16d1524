#include "rig.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using steady = std::chrono::steady_clock;
const steady::time_point began = steady::now();
std::ofstream record;
std::mutex record_mutex;

auto lower(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

auto endpoint(const std::string& address) -> sockaddr_in
{
    sockaddr_in found{};
    const auto colon = address.rfind(':');
    found.sin_family = AF_INET;
    found.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &found.sin_addr);
    return found;
}

auto base64(const std::string& bytes) -> std::string
{
    constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t block = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            block = (block << 8U) | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text.push_back(i + k <= bytes.size() ? digits[(block >> (18U - 6U * k)) & 63U] : '=');
        }
    }
    return text;
}

auto query(const std::string& target, const std::string& name) -> std::uint64_t
{
    const auto at = target.find(name + "=");
    return at == std::string::npos ? 0 : std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
}

auto answer_text(const std::string& status, const std::string& head, const std::string& body) -> std::string
{
    return "HTTP/1.1 " + status + "\r\n" + head + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace

auto now_ms() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - began).count();
}

void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

auto open_record(const std::string& file) -> bool
{
    record.open(file, std::ios::trunc);
    return record.good();
}

void note(const std::string& line)
{
    char at[32];
    const std::int64_t now = now_ms();
    std::snprintf(at, sizeof at, "%3lld.%03lld s  ", static_cast<long long>(now / 1000),
                  static_cast<long long>(now % 1000));
    const std::lock_guard lock(record_mutex);
    record << at << line << '\n' << std::flush;
}

auto message::field(const std::string& lower_name) const -> std::string
{
    const auto found = head.find(lower_name);
    return found == head.end() ? std::string() : found->second;
}

auto message::status() const -> int
{
    return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
}

auto message::target() const -> std::string
{
    const auto begin = first.find(' ');
    const auto end = first.rfind(' ');
    return begin == std::string::npos || end <= begin ? std::string()
                                                      : first.substr(begin + 1, end - begin - 1);
}

connection::~connection()
{
    if (socket_ >= 0) {
        ::close(socket_);
    }
}

auto connection::open(const std::string& address, int timeout_ms) -> std::unique_ptr<connection>
{
    const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto opened = std::make_unique<connection>(made);
    const sockaddr_in to = endpoint(address);
    if (::connect(made, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS) {
        return nullptr;
    }
    pollfd wait{made, POLLOUT, 0};
    int failed = 0;
    socklen_t size = sizeof failed;
    if (::poll(&wait, 1, timeout_ms) <= 0 || ::getsockopt(made, SOL_SOCKET, SO_ERROR, &failed, &size) != 0 ||
        failed != 0) {
        return nullptr;
    }
    ::fcntl(made, F_SETFL, ::fcntl(made, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return opened;
}

auto connection::fill(std::int64_t until) -> bool
{
    const std::int64_t left = until - now_ms();
    pollfd wait{socket_, POLLIN, 0};
    if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    char bytes[65536];
    const ssize_t got = ::recv(socket_, bytes, sizeof bytes, 0);
    if (got <= 0) {
        return false;
    }
    in_.append(bytes, static_cast<std::size_t>(got));
    return true;
}

auto connection::read(bool answer, int timeout_ms) -> message
{
    message found;
    const std::int64_t until = now_ms() + timeout_ms;
    std::size_t end = std::string::npos;
    while ((end = in_.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until)) {
            found.any = !in_.empty();
            return found;
        }
    }
    found.any = true;
    std::istringstream lines(in_.substr(0, end));
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (found.first.empty()) {
            found.first = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            found.head[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
        }
    }
    in_.erase(0, end + 4);
    if (lower(found.field("transfer-encoding")) == "chunked") {
        for (;;) {
            std::size_t line_end = std::string::npos;
            while ((line_end = in_.find("\r\n")) == std::string::npos) {
                if (!fill(until)) {
                    return found;
                }
            }
            const std::size_t size = std::strtoul(in_.c_str(), nullptr, 16);
            while (in_.size() < line_end + 2 + size + 2) {
                if (!fill(until)) {
                    return found;
                }
            }
            found.body.append(in_, line_end + 2, size);
            in_.erase(0, line_end + 2 + size + 2);
            if (size == 0) {
                found.complete = true;
                return found;
            }
        }
    }
    const bool no_length = found.field("content-length").empty();
    if (no_length && answer) {
        while (fill(until)) {
        }
        found.body = std::move(in_);
        in_.clear();
        found.complete = true;
        return found;
    }
    const std::size_t length =
        no_length ? 0 : std::strtoul(found.field("content-length").c_str(), nullptr, 10);
    while (in_.size() < length) {
        if (!fill(until)) {
            return found;
        }
    }
    found.body = in_.substr(0, length);
    in_.erase(0, length);
    found.complete = true;
    return found;
}

auto connection::write(const std::string& bytes) -> bool
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t done = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (done <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(done);
    }
    return true;
}

void connection::reset()
{
    const linger at_once{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    ::close(socket_);
    socket_ = -1;
}

server::server(const std::string& ip, int port, handler handle)
    : address_(ip + ":" + std::to_string(port))
    , handle_(std::move(handle))
{
    open();
}

void server::open()
{
    const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = endpoint(address_);
    if (::bind(made, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(made, 512) != 0) {
        ::close(made);
        return;
    }
    listener_ = made;
    thread_ = std::thread([this, made] {
        for (;;) {
            const int caller = ::accept4(made, nullptr, nullptr, SOCK_CLOEXEC);
            if (caller < 0) {
                return;
            }
            const int yes = 1;
            ::setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
            std::thread([this, caller] {
                connection accepted(caller);
                handle_(accepted);
            }).detach();
        }
    });
}

void server::close()
{
    if (listener_ >= 0) {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
        listener_ = -1;
    }
}

server::~server()
{
    close();
}

store::store(const std::string& ip, int port)
    : server_(std::make_unique<server>(ip, port, [this](connection& caller) { serve(caller); }))
{
}

void store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    item& found = items_[key];
    const bool created = found.revision == 0 || found.deleted;
    found.value = value;
    found.revision = ++revision_;
    found.created = created ? found.revision : found.created;
    found.deleted = false;
}

void store::remove(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    const auto found = items_.find(key);
    if (found != items_.end()) {
        found->second = {"", ++revision_, found->second.created, true};
    }
}

auto store::item_json(const std::string& key, const item& what) const -> std::string
{
    const std::string head = R"({"key":")" + key + R"(","revision":)" + std::to_string(what.revision);
    return what.deleted ? head + R"(,"deleted":true})"
                        : head + R"(,"value":")" + base64(what.value) + R"(","createRev":)" +
                              std::to_string(what.created) + R"(,"lease":0})";
}

void store::serve(connection& caller)
{
    for (;;) {
        const message call = caller.read(false, 60'000);
        if (!call.complete) {
            return;
        }
        const std::string target = call.target();
        std::string body;
        if (target.starts_with("/dragonflymill/kv-range")) {
            const std::lock_guard lock(mutex_);
            for (const auto& [key, what] : items_) {
                if (!what.deleted) {
                    body += (body.empty() ? "" : ",") + item_json(key, what);
                }
            }
            body = R"({"items":[)" + body + R"(],"morePages":false,"storeRevision":)" +
                   std::to_string(revision_) + "}";
        }
        else if (target.starts_with("/dragonflymill/kv-watch")) {
            const std::uint64_t after = query(target, "after");
            const std::int64_t until = now_ms() + static_cast<std::int64_t>(query(target, "waitMs"));
            for (;;) {
                {
                    const std::lock_guard lock(mutex_);
                    std::map<std::uint64_t, std::string> events;
                    for (const auto& [key, what] : items_) {
                        if (what.revision > after) {
                            events[what.revision] = item_json(key, what);
                        }
                    }
                    if (!events.empty() || now_ms() >= until) {
                        for (const auto& [revision, text] : events) {
                            body += (body.empty() ? "" : ",") + text;
                        }
                        body = R"({"events":[)" + body + R"(],"storeRevision":)" + std::to_string(revision_) +
                               "}";
                        break;
                    }
                }
                sleep_ms(5);
            }
        }
        else {
            (void)caller.write(answer_text("404 Not Found", "", ""));
            continue;
        }
        sleep_ms(4);
        if (!caller.write(answer_text("200 OK", "Content-Type: application/json\r\n", body)) ||
            lower(call.field("connection")) == "close") {
            return;
        }
    }
}

void run_list::add(const std::string& server, const std::string& request)
{
    {
        const std::lock_guard lock(mutex_);
        runs_.push_back({server, request, now_ms()});
    }
    note("request " + request + " runs at " + server);
}

auto run_list::count(const std::string& request) -> int
{
    const std::lock_guard lock(mutex_);
    return static_cast<int>(
        std::count_if(runs_.begin(), runs_.end(), [&](const run& item) { return item.request == request; }));
}

auto run_list::total() -> int
{
    const std::lock_guard lock(mutex_);
    return static_cast<int>(runs_.size());
}

replica::replica(std::string id, std::string service, std::string zone, const std::string& ip, int port,
                 int slots, run_list& runs)
    : id_(std::move(id))
    , service_(std::move(service))
    , zone_(std::move(zone))
    , slots_(slots)
    , runs_(runs)
    , server_(std::make_unique<server>(ip, port, [this](connection& caller) { serve(caller); }))
{
}

auto replica::entry() const -> std::string
{
    return R"({"service":")" + service_ + R"(","address":")" + server_->address() + R"(","zone":")" + zone_ +
           R"(","version":"v1","slots":)" + std::to_string(slots_) +
           R"(,"state":"ready","coldLeftMs":0,"sequence":1})";
}

void replica::serve(connection& caller)
{
    for (;;) {
        const message call = caller.read(false, 15'000);
        if (!call.complete) {
            return;
        }
        const std::string request = call.field("dragonflymill-attempt-id");
        const std::string echo = "Dragonflymill-Attempt-Id: " + request + "\r\n";
        if (call.target() == "/health") {
            (void)caller.write(answer_text("200 OK", "Dragonflymill-Instance-Id: " + id_ + "\r\n", ""));
            continue;
        }
        const std::string expected = call.field("dragonflymill-expect-instance");
        if (!expected.empty() && expected != id_) {
            (void)caller.write(
                answer_text("421 Misdirected Request", "Dragonflymill-Instance-Id: " + id_ + "\r\n", ""));
            continue;
        }
        if (++busy_ > slots_ + 24) {
            --busy_;
            (void)caller.write(
                answer_text("503 Service Unavailable", "Dragonflymill-Not-Executed: 1\r\n", ""));
            continue;
        }
        runs_.add(id_, request);
        sleep_ms(work_ms);
        --busy_;
        const std::string body(800, 'b');
        // Spreads the failures evenly, so that each run has the same share of them.
        const int percent = failing_percent;
        const bool fails = percent > 0 && (failing_sum_ += percent) % 100 < percent;
        if (!caller.write(answer_text(fails ? failure : "200 OK",
                                      echo + "Dragonflymill-Server-Seal: seal-" + id_ + "-" +
                                          std::to_string(++sequence_) + "\r\n",
                                      body))) {
            return;
        }
    }
}

gateway::gateway(std::string name, std::string ip, std::string zone)
    : name_(std::move(name))
    , ip_(std::move(ip))
    , zone_(std::move(zone))
{
}

gateway::~gateway()
{
    kill();
}

void gateway::configure(const std::string& folder, const std::string& store_address,
                        const std::vector<std::string>& seeds)
{
    settings_ = folder + "/" + name_ + ".conf";
    log_ = folder + "/" + name_ + ".log";
    std::ofstream file(settings_, std::ios::trunc);
    file << "nodeName=" << name_ << "\nrole=gateway\nmachineClass=front\nserves=front,control\nip=" << ip_
         << "\nzone=" << zone_ << "\nregion=r\nlisten.front=" << ip_ << ":8227\nlisten.ready=" << ip_
         << ":8220\nlisten.control=" << ip_ << ":8229\ninternalPorts=7340,7355\nseeds=";
    for (std::size_t i = 0; i < seeds.size(); ++i) {
        file << (i == 0 ? "" : ",") << seeds[i] << ":8229";
    }
    file << "\nbootstrap=true\ncountsLoss=false\nlimits.cpuShare=0.19\nlimits.cores=1\nlimits.memoryMb=260\n"
            "limits.maxFds=4200\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=vip\n"
            "heartbeatMs=1200\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.retryBudgetRatio=0.2\n"
            "bounds.budgetWindowS=10\nbounds.retrySlack=100\nplatform.address="
         << store_address << "\nplatform.form=read\nplatform.readsPerS=2000\nplatform.historyS=20\n";
}

auto gateway::start() -> bool
{
    pid_ = ::fork();
    if (pid_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with the rig, however that ends
        const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::setenv("DRAGONFLYMILL_NODE_FILE", settings_.c_str(), 1);
        ::execl("target/dragonflymill", "target/dragonflymill", "platform-gateway", nullptr);
        ::_exit(127);
    }
    note(name_ + " starts");
    return pid_ > 0;
}

void gateway::signal(int number) const
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

void gateway::kill()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGCONT);
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
}

auto gateway::ended() -> bool
{
    int status = 0;
    if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = -1;
        note(name_ + " ended by itself, " +
             (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                  : "status " + std::to_string(WEXITSTATUS(status))));
        return true;
    }
    return pid_ <= 0;
}

auto gateway::ready() const -> bool
{
    const auto asked = connection::open(ip_ + ":8220", 300);
    if (!asked ||
        !asked->write("GET /dragonflymill/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
        return false;
    }
    return asked->read(true, 500).status() == 200;
}

auto booking_config() -> std::string
{
    return R"({"version":7,"routes":[{"name":"r-book","host":"desk.example","pathPrefix":"/book/",)"
           R"("kind":"non_idempotent","timeoutMs":800,"latencyGoalMs":100,"priority":2,"service":"desk",)"
           R"("maxAttempts":1,"allowAnonymous":false}],"services":[{"name":"desk","healthPath":"/health",)"
           R"("maxConns":96,"protocol":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
           R"("idleTimeoutMs":15000},"tenants":[{"name":"t1","apiKeys":["key1"],"priority":1}]})";
}

auto network() -> std::string
{
    // The first one, from that of the process id on, in which the store's and a gateway's ports are free.
    constexpr int tried = 50;
    const int pid = ::getpid();
    std::string net;
    for (int i = 0; i < tried; ++i) {
        const int number = pid + i * 7;
        net = "127." + std::to_string(20 + number / 250 % 200) + "." + std::to_string(1 + number % 250) + ".";
        const auto is_free = [&](const std::string& address) {
            const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const int on = 1;
            ::setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
            const sockaddr_in at = endpoint(net + address);
            const bool bound = ::bind(made, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
            ::close(made);
            return bound;
        };
        if (is_free("100:8223") && is_free("1:8227") && is_free("1:9464")) {
            break;
        }
    }
    return net;
}

auto wait_ready(std::vector<std::unique_ptr<gateway>>& gateways, int timeout_ms) -> bool
{
    const std::int64_t until = now_ms() + timeout_ms;
    for (auto& item : gateways) {
        while (!item->ready()) {
            if (now_ms() > until || item->ended()) {
                note(item->name() + " isn't ready");
                return false;
            }
            sleep_ms(50);
        }
    }
    return true;
}

} // namespace review
