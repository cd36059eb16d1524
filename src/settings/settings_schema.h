#pragma once

#include "dragonflymill/bundle/bundle.h"
#include "dragonflymill/core/error.h"
#include "dragonflymill/core/time.h"
#include "settings/socket_address.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflymill {

/// Whether a settings file must name a key.
enum class presence
{
    optional, ///< The default stands when it is missing.
    required, ///< Its absence is a mistake.
};

/// Where a key stands and what it is for.
struct setting_name
{
    const char* section; ///< Section, without brackets.
    const char* key;     ///< Key.
    const char* help;    ///< What it does; one line.
};

/// Smallest and largest value of a key, both allowed.
template <typename T>
struct setting_range
{
    T low;  ///< Smallest value allowed.
    T high; ///< Largest value allowed.
};

/// One name of a closed set of values.
template <typename T>
struct setting_choice
{
    const char* name; ///< As written in the file.
    T value;          ///< What it means.
};

/// One key of a settings file: what may be written, and where it goes.
struct setting_spec
{
    std::string section;                                  ///< Section, without brackets.
    std::string key;                                      ///< Key.
    std::string help;                                     ///< What it does.
    std::string type;                                     ///< Kind of value, in words.
    std::string allowed;                                  ///< What may be written, with its range.
    std::string default_text;                             ///< The default as written; empty if there is none.
    presence needed = presence::optional;                 ///< Whether it must be there.
    std::function<result<void>(std::string_view)> assign; ///< Checks a text and stores its value.
};

/// A check over several keys, made when each is right by itself.
struct setting_rule
{
    std::string section;         ///< Section of the key to point at.
    std::string key;             ///< The key to point at.
    std::string message;         ///< What is wrong when it does not hold.
    std::string remedy;          ///< What to do then.
    std::function<bool()> holds; ///< Whether it holds.
};

/// The closed list of keys that a settings file may have, bound to the fields of a settings struct. A field's
/// value at the time of binding is the key's default.
class settings_schema
{
public:
    /// Any text of one line.
    void text(const setting_name& name, std::string& target, presence needed = presence::optional);
    /// A name: letters, digits, `-`, `_` and `.`, at most 64 of them. For a text or a typed id.
    template <typename Id>
    void name(const setting_name& where, Id& target, presence needed = presence::optional)
    {
        name_into(where, needed, [&target](std::string text) { target = Id(std::move(text)); });
    }
    /// As `name`, for a name that goes to more than one place; it has no default.
    void name_into(const setting_name& where, presence needed, std::function<void(std::string)> store);
    /// Path of a file.
    void path(const setting_name& name, std::string& target, presence needed = presence::optional);
    /// Partners with their public keys, separated by commas; at most `most`.
    void partner_list(const setting_name& name, std::vector<partner_entry>& target, std::size_t most);
    /// `yes` or `no`.
    void flag(const setting_name& name, bool& target);
    /// A whole number.
    void count(const setting_name& name, std::uint64_t& target, setting_range<std::uint64_t> range);
    /// A time with its unit.
    void time(const setting_name& name, duration& target, setting_range<duration> range);
    /// A size with its unit.
    void size(const setting_name& name, std::uint64_t& target, setting_range<std::uint64_t> range);
    /// A rate with its unit.
    void rate(const setting_name& name, double& target, setting_range<double> range);
    /// An IP number with a port.
    void address(const setting_name& name, socket_address& target, presence needed = presence::optional);
    /// Several of them, separated by commas; at most `most`.
    void address_list(const setting_name& name, std::vector<socket_address>& target, std::size_t most);

    /// One of a closed set of names.
    template <typename T, std::size_t N>
    void choice(const setting_name& name, T& target, const setting_choice<T> (&choices)[N]) // NOLINT
    {
        std::vector<std::string> names;
        std::vector<T> values;
        std::string standing;
        for (const auto& c : choices) {
            names.emplace_back(c.name);
            values.push_back(c.value);
            standing = c.value == target ? c.name : standing;
        }
        add_choice(name, std::move(names), standing,
                   [&target, values](std::size_t index) { target = values[index]; });
    }

    /// Adds a check over several keys.
    void rule(setting_rule checked);

    /// Every key, in order of declaration.
    [[nodiscard]] auto specs() const -> std::span<const setting_spec> { return specs_; }
    /// Every rule, in order of declaration.
    [[nodiscard]] auto rules() const -> std::span<const setting_rule> { return rules_; }

private:
    using assign_function = std::function<result<void>(std::string_view)>;
    struct value_kind;

    void add(const setting_name& name, value_kind kind, presence needed, assign_function assign);
    void add_choice(const setting_name& name, std::vector<std::string> names, const std::string& standing,
                    std::function<void(std::size_t)> store);

    std::vector<setting_spec> specs_;
    std::vector<setting_rule> rules_;
};

} // namespace dragonflymill
