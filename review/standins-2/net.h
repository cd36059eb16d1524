#pragma once

// Blocking sockets and HTTP/1.1 for the stand-ins of the review; one thread a connection.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace standin {

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

/// Milliseconds of the machine's steady clock, the same for all processes.
inline auto now_ms() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now().time_since_epoch()).count();
}

/// Writes a line of the record: the time, then the text.
inline void note(const std::string& text)
{
    static std::mutex one_line;
    const std::lock_guard<std::mutex> lock(one_line);
    std::printf("%lld %s\n", static_cast<long long>(now_ms()), text.c_str());
    std::fflush(stdout);
}

/// Splits `IP:PORT`.
inline auto to_endpoint(const std::string& address) -> sockaddr_in
{
    sockaddr_in out{};
    const auto colon = address.rfind(':');
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

class connection
{
public:
    explicit connection(int fd = -1)
        : fd_(fd)
    {
    }
    ~connection() { close(); }
    connection(const connection&) = delete;
    auto operator=(const connection&) -> connection& = delete;
    connection(connection&& other) noexcept
        : fd_(std::exchange(other.fd_, -1))
        , buffer_(std::move(other.buffer_))
    {
    }

    auto connect(const std::string& address, const std::function<void(int)>& options = {}) -> bool
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM, 0);
        if (options) {
            options(fd_);
        }
        const sockaddr_in to = to_endpoint(address);
        if (::connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
            close();
            return false;
        }
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return true;
    }
    auto send(std::string_view bytes) -> bool
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }
    /// Reads more bytes into the buffer: their number, 0 at the end, -1 at an error or after `wait`.
    auto fill(std::chrono::milliseconds wait = 60s, std::size_t most = 65536) -> int
    {
        pollfd ready{fd_, POLLIN, 0};
        if (::poll(&ready, 1, static_cast<int>(wait.count())) <= 0) {
            return -1;
        }
        std::string part(most, '\0');
        const ssize_t got = ::recv(fd_, part.data(), part.size(), 0);
        if (got > 0) {
            buffer_.append(part, 0, static_cast<std::size_t>(got));
        }
        return static_cast<int>(got);
    }
    auto buffer() -> std::string& { return buffer_; }
    [[nodiscard]] auto fd() const -> int { return fd_; }
    [[nodiscard]] auto is_open() const -> bool { return fd_ >= 0; }
    void close()
    {
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
        }
        buffer_.clear();
    }
    void reset()
    {
        const linger now{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }

private:
    int fd_;
    std::string buffer_;
};

struct message
{
    std::string first; ///< Request line or status line.
    std::map<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] auto field(const std::string& name) const -> std::string
    {
        const auto found = fields.find(name);
        return found == fields.end() ? "" : found->second;
    }
    [[nodiscard]] auto word(int index) const -> std::string
    {
        std::istringstream words(first);
        std::string found;
        for (int i = 0; i <= index; ++i) {
            words >> found;
        }
        return found;
    }
};

inline auto lower(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

/// Reads a head from a connection; nothing if it ends before.
inline auto read_head(connection& from, std::chrono::milliseconds wait = 60s, std::size_t most = 65536)
    -> std::optional<message>
{
    std::size_t end = 0;
    while ((end = from.buffer().find("\r\n\r\n")) == std::string::npos) {
        if (from.fill(wait, most) <= 0) {
            return std::nullopt;
        }
    }
    message out;
    std::istringstream lines(from.buffer().substr(0, end + 2));
    from.buffer().erase(0, end + 4);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.ends_with('\r')) {
            line.pop_back();
        }
        if (out.first.empty()) {
            out.first = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            out.fields[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
        }
    }
    return out;
}

/// Reads a message whose body has a length, chunks or none.
inline auto read_message(connection& from, std::chrono::milliseconds wait = 60s) -> std::optional<message>
{
    auto out = read_head(from, wait);
    if (!out) {
        return out;
    }
    std::string& in = from.buffer();
    if (lower(out->field("transfer-encoding")) == "chunked") {
        for (;;) {
            std::size_t line = 0;
            while ((line = in.find("\r\n")) == std::string::npos) {
                if (from.fill(wait) <= 0) {
                    return std::nullopt;
                }
            }
            const std::size_t size = std::stoul(in.substr(0, line), nullptr, 16);
            while (in.size() < line + 2 + size + 2) {
                if (from.fill(wait) <= 0) {
                    return std::nullopt;
                }
            }
            out->body.append(in, line + 2, size);
            in.erase(0, line + 2 + size + 2);
            if (size == 0) {
                return out;
            }
        }
    }
    const std::string length = out->field("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (in.size() < size) {
        if (from.fill(wait) <= 0) {
            return std::nullopt;
        }
    }
    out->body = in.substr(0, size);
    in.erase(0, size);
    return out;
}

/// Listens on an address and runs `serve` in a thread for each connection; doesn't return.
inline void listen_on(const std::string& address, const std::function<void(connection&)>& serve)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = to_endpoint(address);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 1024) != 0) {
        std::perror(("listen on " + address).c_str());
        std::exit(2);
    }
    for (;;) {
        const int accepted = ::accept(fd, nullptr, nullptr);
        if (accepted < 0) {
            continue;
        }
        ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([accepted, &serve] {
            connection one(accepted);
            serve(one);
        }).detach();
    }
}

inline auto response(int status, const std::string& fields, const std::string& body) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline auto base64(const std::string& bytes) -> std::string
{
    constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out.push_back(i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63U] : '=');
        }
    }
    return out;
}

/// Options of the form `name=value`.
class options
{
public:
    options(int count, char** words)
    {
        for (int i = 2; i < count; ++i) {
            const std::string word = words[i];
            const auto equals = word.find('=');
            values_[word.substr(0, equals)] = equals == std::string::npos ? "1" : word.substr(equals + 1);
        }
    }
    [[nodiscard]] auto text(const std::string& name, const std::string& otherwise = "") const -> std::string
    {
        const auto found = values_.find(name);
        return found == values_.end() ? otherwise : found->second;
    }
    [[nodiscard]] auto number(const std::string& name, long otherwise = 0) const -> long
    {
        const auto found = values_.find(name);
        return found == values_.end() ? otherwise : std::stol(found->second);
    }

private:
    std::map<std::string, std::string> values_;
};

} // namespace standin
