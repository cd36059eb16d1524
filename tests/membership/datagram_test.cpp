#include "dragonflymill/membership/datagram_seal.h"

#include "control/datagram_codec.h"
#include "dragonflymill/core/random_source.h"
#include "membership_fixture.h"

#include <criterion/criterion.h>

using namespace dragonflymill;
using namespace dragonflymill::test;

namespace {

auto make_longest_info() -> member_info
{
    const std::string name(max_member_name, 'n');
    member_info info;
    info.id = process_id(name);
    info.region = region_id(name);
    info.domain = failure_domain_id(name);
    info.host = host_id(name);
    info.gossip_address = std::string(max_member_address, '1');
    info.peer_address = info.gossip_address;
    return info;
}

auto sample_datagram() -> datagram
{
    datagram message;
    message.sender = {make_longest_info(), member_state::alive, {incarnation(7), 3}};
    message.receiver = process_id("p1");
    message.counter = 9;
    message.body = ping_request_message{5, process_id("p2")};
    message.word = bundle_notice{bundle_version(4), sha256("x")};
    message.members_digest = 77;
    message.members_count = 5;
    message.news = {message.sender};
    message.drains = {{failure_domain_id("a"), 3, true}, {host_id("h"), 4, false}};
    return message;
}

} // namespace

Test(datagram, every_type_survives_encoding_and_decoding)
{
    const std::vector<datagram_body> bodies{ping_message{1},
                                            ack_message{2},
                                            ping_request_message{3, process_id("p")},
                                            sync_request_message{process_id("q")},
                                            sync_request_message{},
                                            sync_page_message{true},
                                            sync_page_message{},
                                            announce_message{}};
    for (const auto& body : bodies) {
        auto message = sample_datagram();
        message.body = body;
        cr_assert(decode_datagram(encode_datagram(message)).value() == message);
    }
}

Test(datagram, datagrams_with_the_longest_names_fit_one_frame)
{
    membership_settings settings;
    settings.self = make_longest_info();
    settings.seeds = {"a"};
    membership member(settings, 1, instant{});
    for (int number = 0; number < 200; ++number) {
        auto other = sample_datagram();
        other.receiver = {};
        other.sender.info.id = process_id(std::to_string(number) + std::string(36, 'x'));
        other.sender.state = number % 2 == 0 ? member_state::alive : member_state::leaving;
        other.body = number % 3 == 0 ? datagram_body(sync_request_message{}) : datagram_body(ping_message{1});
        member.set_word(bundle_notice{bundle_version(1), sha256("x")});
        member.set_drains(other.drains);
        for (const auto& output : member.receive(instant{} + 1s * number, other, "a")) {
            if (const auto* sent = std::get_if<send_datagram>(&output)) {
                const auto size = encode_datagram(sent->message).size() + datagram_seal::size;
                cr_assert(size <= max_datagram_bytes, "%zu", size);
            }
        }
        static_cast<void>(member.tick(instant{} + 1s * number));
    }
}

Test(datagram, forged_and_corrupted_datagrams_are_rejected_without_a_crash)
{
    const auto seal = datagram_seal::create({"0123456789abcdef"}).value();
    const auto other = datagram_seal::create({"fedcba9876543210"}).value();
    const auto both = datagram_seal::create({"fedcba9876543210", "0123456789abcdef"}).value();
    const auto bytes = encode_datagram(sample_datagram());
    cr_assert(seal.open(seal.seal(bytes)).value() == bytes);
    cr_assert(both.open(seal.seal(bytes)).value() == bytes, "both keys must be accepted during key rotation");
    cr_assert(seal.open(other.seal(bytes)).has_error());
    cr_assert(datagram_seal::create({"short"}).has_error());
    random_source random(1);
    for (int round = 0; round < 20'000; ++round) {
        auto changed = bytes;
        for (auto edits = 1 + random.below(5); edits > 0; --edits) {
            changed[random.below(changed.size())] = static_cast<char>(random.below(256));
        }
        changed.resize(random.chance(0.3) ? random.below(changed.size() + 1) : changed.size());
        const auto read = decode_datagram(changed);
        cr_assert(read.has_error() || read.value().news.size() <= max_datagram_news);
        auto sealed = seal.seal(bytes);
        auto& byte = sealed[random.below(sealed.size())];
        byte = static_cast<char>(byte + 1 + static_cast<int>(random.below(255)));
        cr_assert(seal.open(sealed).has_error());
    }
    cr_assert(decode_datagram(std::string(max_datagram_bytes + 1, 'x')).has_error());
    cr_assert(seal.open("").has_error());
}

Test(replay_window, accepts_each_counter_once)
{
    replay_window window;
    cr_assert(window.accept(incarnation(1), 10));
    cr_assert(!window.accept(incarnation(1), 10));
    cr_assert(window.accept(incarnation(1), 8));
    cr_assert(!window.accept(incarnation(1), 8));
    cr_assert(window.accept(incarnation(1), 200));
    cr_assert(!window.accept(incarnation(1), 100), "a counter older than the window must be rejected");
    cr_assert(window.accept(incarnation(2), 1));
    cr_assert(!window.accept(incarnation(1), 300), "an earlier incarnation must be rejected");
}
