#include "app/option_set.h"

#include <boost/program_options/errors.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/variables_map.hpp>

namespace dragonflymill::app {

namespace {

namespace po = boost::program_options;

constexpr const char* positional_option = "positional-words";

} // namespace

struct option_set::state
{
    std::string usage;
    std::string description;
    std::string examples;
    po::options_description visible{"Options"};
    po::options_description hidden;
    po::positional_options_description positions;
    const char* positional_name = nullptr;
    const std::vector<std::string>* positional_target = nullptr;
    std::size_t min_words = 0;
    std::size_t max_words = 0;
    bool help = false;

    void write_help(std::ostream& out) const
    {
        out << "Usage: " << usage << "\n\n" << description << "\n\n" << visible;
        if (!examples.empty()) {
            out << "\nExamples:\n" << examples;
        }
    }

    void read(const arguments& words)
    {
        po::options_description all;
        all.add(visible).add(hidden);
        po::variables_map found;
        const auto style = po::command_line_style::unix_style & ~po::command_line_style::allow_guessing;
        po::store(po::command_line_parser(words).options(all).positional(positions).style(style).run(),
                  found);
        po::notify(found);
    }

    /// Describes why the number of positional words is not allowed; empty if it is.
    [[nodiscard]] auto positional_count_error() const -> std::string
    {
        const std::size_t given = positional_target == nullptr ? 0 : positional_target->size();
        if (given < min_words) {
            return std::string(positional_name) + " is missing";
        }
        if (given > max_words) {
            return "there are too many words: '" + positional_target->back() + "'";
        }
        return {};
    }
};

option_set::option_set(std::string usage, std::string about)
    : state_(std::make_unique<state>())
{
    state_->usage = std::move(usage);
    state_->description = std::move(about);
    flag("help", "show this help and exit", state_->help);
}

option_set::~option_set() = default;

void option_set::flag(const char* name, const char* help, bool& target)
{
    state_->visible.add_options()(name, po::bool_switch(&target), help);
}

void option_set::text(const char* name, const char* help, std::string& target)
{
    state_->visible.add_options()(name, po::value(&target)->value_name("VALUE"), help);
}

void option_set::texts(const char* name, const char* help, std::vector<std::string>& target)
{
    state_->visible.add_options()(name, po::value(&target)->value_name("VALUE"), help);
}

void option_set::positional(const char* name, std::vector<std::string>& target, std::size_t least,
                            std::size_t most)
{
    state_->hidden.add_options()(positional_option, po::value(&target));
    state_->positions.add(positional_option, -1);
    state_->positional_name = name;
    state_->positional_target = &target;
    state_->min_words = least;
    state_->max_words = most;
}

void option_set::example(std::string line, std::string what)
{
    state_->examples += "  " + std::move(line) + "\n      " + std::move(what) + '\n';
}

auto option_set::parse(const arguments& words, command_io& io) -> std::optional<exit_code>
{
    std::string problem;
    try {
        state_->read(words);
        problem = state_->help ? std::string() : state_->positional_count_error();
    }
    catch (const po::error& failed) {
        problem = failed.what();
    }
    if (!problem.empty()) {
        io.err << problem << "\nUsage: " << state_->usage << "\nSee --help for the options.\n";
        return exit_code::usage;
    }
    if (state_->help) {
        state_->write_help(io.out);
        return exit_code::success;
    }
    return std::nullopt;
}

} // namespace dragonflymill::app
