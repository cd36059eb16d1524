#include "dragonflymill/once/ticket.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cstdint>
#include <optional>
#include <utility>

namespace dragonflymill {
namespace {

/// First byte of every ticket; identifies the format.
constexpr char format_version = 1;
/// Size in bytes of the HMAC-SHA256 at the end.
constexpr std::size_t mac_size = 32;
/// Maximum length of a text that is decoded.
constexpr std::size_t max_text = 1'024;
/// Maximum length in bytes of a name in a ticket.
constexpr std::size_t max_name = 200;

constexpr std::string_view hex_digits = "0123456789abcdef";

void put_number(std::string& bytes, std::uint64_t value)
{
    for (int shift = 56; shift >= 0; shift -= 8) {
        bytes.push_back(static_cast<char>((value >> shift) & 0xffU));
    }
}

void put_name(std::string& bytes, const std::string& name)
{
    bytes.push_back(static_cast<char>(static_cast<unsigned char>(name.size())));
    bytes.append(name);
}

/// Reads consecutive fields of a payload. Once a field is missing, all further ones are empty and `complete`
/// is false.
class payload_reader
{
public:
    explicit payload_reader(std::string_view bytes)
        : left_(bytes)
    {
    }

    auto byte() -> unsigned char
    {
        const std::string_view one = take(1);
        return one.empty() ? 0 : static_cast<unsigned char>(one.front());
    }

    auto number() -> std::uint64_t
    {
        std::uint64_t value = 0;
        for (const char c : take(8)) {
            value = (value << 8U) | static_cast<unsigned char>(c);
        }
        return value;
    }

    auto name() -> std::string { return std::string(take(byte())); }

    [[nodiscard]] auto complete() const -> bool { return complete_ && left_.empty(); }

private:
    auto take(std::size_t count) -> std::string_view
    {
        if (count > left_.size()) {
            complete_ = false;
            left_ = {};
            return {};
        }
        const std::string_view taken = left_.substr(0, count);
        left_.remove_prefix(count);
        return taken;
    }

    std::string_view left_;
    bool complete_ = true;
};

auto to_hex(std::string_view bytes) -> std::string
{
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char c : bytes) {
        const auto value = static_cast<unsigned char>(c);
        text.push_back(hex_digits[value >> 4U]);
        text.push_back(hex_digits[value & 0xfU]);
    }
    return text;
}

auto from_hex(std::string_view text) -> std::optional<std::string>
{
    if (text.size() % 2 != 0 || text.size() > max_text) {
        return std::nullopt;
    }
    std::string bytes;
    for (std::size_t i = 0; i < text.size(); i += 2) {
        const std::size_t high = hex_digits.find(text[i]);
        const std::size_t low = hex_digits.find(text[i + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return std::nullopt;
        }
        bytes.push_back(static_cast<char>((high << 4U) | low));
    }
    return bytes;
}

auto not_a_ticket() -> error
{
    return {error_kind::corrupt, "this is no ticket of ours, or it was changed",
            "ask for a new ticket at /v1/services/{route}/tickets"};
}

} // namespace

ticket_codec::ticket_codec(std::string key)
    : key_(std::move(key))
{
}

auto ticket_codec::compute_mac(std::string_view payload) const -> std::string
{
    std::array<unsigned char, mac_size> mac{};
    unsigned int size = mac_size;
    HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
         reinterpret_cast<const unsigned char*>(payload.data()), payload.size(), mac.data(), &size);
    return {reinterpret_cast<const char*>(mac.data()), mac.size()};
}

auto ticket_codec::encode(const ticket& value) const -> std::string
{
    std::string payload(1, format_version);
    put_name(payload, value.upstream.text().substr(0, max_name));
    put_name(payload, value.route.text().substr(0, max_name));
    put_name(payload, value.account.text().substr(0, max_name));
    put_number(payload, value.issuer.value());
    put_number(payload, value.serial.value());
    put_number(payload, static_cast<std::uint64_t>(value.submit_by.time_since_epoch().count()));
    return to_hex(payload + compute_mac(payload));
}

auto ticket_codec::decode(std::string_view text) const -> result<ticket>
{
    const auto bytes = from_hex(text);
    if (!bytes || bytes->size() <= mac_size) {
        return not_a_ticket();
    }
    const std::string_view payload = std::string_view(*bytes).substr(0, bytes->size() - mac_size);
    const std::string expected = compute_mac(payload);
    // Compared in constant time, so that a MAC cannot be guessed byte by byte from response times.
    if (CRYPTO_memcmp(expected.data(), bytes->data() + payload.size(), mac_size) != 0) {
        return not_a_ticket();
    }
    payload_reader reader(payload);
    const bool known_format = reader.byte() == format_version;
    ticket value;
    value.upstream = upstream_id(reader.name());
    value.route = route_id(reader.name());
    value.account = client_account_id(reader.name());
    value.issuer = incarnation(reader.number());
    value.serial = call_serial(reader.number());
    value.submit_by = instant(duration(static_cast<duration::rep>(reader.number())));
    if (!known_format || !reader.complete()) {
        return not_a_ticket();
    }
    return value;
}

} // namespace dragonflymill
