#include "timeline/timeline_picture.h"

#include "dragonflymill/core/stable_hash.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <vector>

namespace dragonflymill {

namespace {

constexpr double page_width = 1500;
constexpr double label_width = 170;
constexpr double row_height = 7;
constexpr double band_gap = 8;
constexpr double axis_height = 24;
constexpr std::size_t max_rows = 48;
constexpr std::size_t max_steps = 40'000;
constexpr std::size_t max_messages = 4'000;
constexpr int axis_ticks = 10;
constexpr unsigned hues = 360;

auto decimal_text(double value) -> std::string
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", value);
    return text.data();
}

auto time_text(duration value) -> std::string
{
    constexpr double microseconds_per_millisecond = 1000;
    return decimal_text(static_cast<double>(value.count()) / microseconds_per_millisecond) + " ms";
}

/// Escapes text for HTML, since request ids and details are client input.
auto escaped(const std::string& text) -> std::string
{
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

/// Writes a merged timeline as SVG.
class svg_writer
{
public:
    svg_writer(const merged_timeline& merged, std::ostream& out)
        : merged_(merged)
        , out_(out)
        , rows_(merged.clocks.size(), 1)
    {
        for (const request_span& span : merged.spans) {
            rows_[span.process] = std::max(rows_[span.process], std::min(span.row + 1, max_rows));
            length_ = std::max(length_, span.end());
        }
        for (const placed_event& event : merged.process_events) {
            length_ = std::max(length_, event.at);
        }
        double top = axis_height;
        for (const std::size_t rows : rows_) {
            tops_.push_back(top);
            top += static_cast<double>(rows) * row_height + band_gap;
        }
        height_ = top;
    }

    void draw()
    {
        out_ << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << page_width << "\" height=\""
             << height_ << "\" font-family=\"sans-serif\" font-size=\"10\">\n";
        draw_axis();
        draw_bands();
        draw_messages();
        for (const request_span& span : merged_.spans) {
            draw_span(span);
        }
        for (const placed_event& event : merged_.process_events) {
            draw_process_event(event);
        }
        out_ << "</svg>\n";
    }

    [[nodiscard]] auto omitted() const -> std::size_t { return omitted_; }

private:
    [[nodiscard]] auto x(duration at) const -> double
    {
        const double share = static_cast<double>(at.count()) / static_cast<double>(length_.count());
        return label_width + share * (page_width - label_width - 10);
    }
    [[nodiscard]] auto y(const request_span& span) const -> double
    {
        return tops_[span.process] + static_cast<double>(span.row) * row_height;
    }
    static auto is_hidden(const request_span& span) -> bool { return span.row >= max_rows; }

    void draw_axis()
    {
        for (int i = 0; i <= axis_ticks; ++i) {
            const duration at = length_ * i / axis_ticks;
            out_ << "<line x1=\"" << decimal_text(x(at)) << "\" x2=\"" << decimal_text(x(at)) << "\" y1=\""
                 << axis_height - 6 << "\" y2=\"" << height_ << "\" stroke=\"#ddd\"/><text x=\""
                 << decimal_text(x(at)) << "\" y=\"12\" text-anchor=\"middle\">" << time_text(at)
                 << "</text>\n";
        }
    }

    void draw_bands()
    {
        for (std::size_t i = 0; i < merged_.clocks.size(); ++i) {
            const double height = static_cast<double>(rows_[i]) * row_height;
            out_ << "<rect x=\"0\" y=\"" << tops_[i] - 2 << "\" width=\"" << page_width << "\" height=\""
                 << height + 4 << "\" fill=\"#000\" fill-opacity=\"0.04\"/><text x=\"4\" y=\""
                 << tops_[i] + row_height << "\">" << escaped(merged_.clocks[i].process.text())
                 << "</text>\n";
        }
    }

    void draw_messages()
    {
        std::size_t drawn = 0;
        for (const message_arrow& message : merged_.messages) {
            const request_span& from = merged_.spans[message.from.span];
            const request_span& to = merged_.spans[message.to.span];
            if (is_hidden(from) || is_hidden(to) || drawn >= max_messages) {
                ++omitted_;
                continue;
            }
            ++drawn;
            out_ << "<line x1=\"" << decimal_text(x(from.steps[message.from.step].at)) << "\" y1=\""
                 << decimal_text(y(from) + row_height / 2) << "\" x2=\""
                 << decimal_text(x(to.steps[message.to.step].at)) << "\" y2=\""
                 << decimal_text(y(to) + row_height / 2) << "\" stroke=\"#888\" stroke-width=\"0.4\"/>\n";
        }
    }

    void draw_span(const request_span& span)
    {
        if (is_hidden(span) || steps_drawn_ + span.steps.size() > max_steps) {
            omitted_ += span.steps.size();
            return;
        }
        steps_drawn_ += span.steps.size();
        const std::string& request = span.steps.front().event.request.text();
        const double width = std::max(1.0, x(span.end()) - x(span.begin()));
        out_ << "<g><rect x=\"" << decimal_text(x(span.begin())) << "\" y=\"" << decimal_text(y(span))
             << "\" width=\"" << decimal_text(width) << "\" height=\"" << row_height - 1 << "\" fill=\"hsl("
             << stable_hash(request) % hues << ",60%,70%)\"><title>" << escaped(request) << "\n"
             << time_text(span.begin()) << " to " << time_text(span.end()) << "</title></rect>";
        for (const placed_event& step : span.steps) {
            draw_tick(step, y(span), "#333");
        }
        out_ << "</g>\n";
    }

    void draw_process_event(const placed_event& event)
    {
        if (steps_drawn_ >= max_steps) {
            ++omitted_;
            return;
        }
        ++steps_drawn_;
        draw_tick(event, tops_[merged_.process_index(event.event.process)], "#c00");
        out_ << '\n';
    }

    void draw_tick(const placed_event& event, double top, const char* colour)
    {
        out_ << "<rect x=\"" << decimal_text(x(event.at)) << "\" y=\"" << decimal_text(top)
             << "\" width=\"0.8\" height=\"" << row_height - 1 << "\" fill=\"" << colour << "\"><title>"
             << escaped(event.event.step) << ' ' << escaped(event.event.detail) << "\n"
             << escaped(event.event.request.text()) << ' ' << time_text(event.at) << "</title></rect>";
    }

    const merged_timeline& merged_;
    std::ostream& out_;
    std::vector<std::size_t> rows_;
    std::vector<double> tops_;
    double height_ = 0;
    duration length_{1};
    std::size_t steps_drawn_ = 0;
    std::size_t omitted_ = 0;
};

void write_clocks(const merged_timeline& merged, std::ostream& out)
{
    out << "<table><tr><th>process</th><th>clock offset</th><th>at most wrong by</th><th>from</th></tr>\n";
    for (const clock_offset& clock : merged.clocks) {
        const bool known = clock.source == offset_source::round_trip;
        out << "<tr><td>" << escaped(clock.process.text()) << "</td><td>" << clock.offset.count()
            << " us</td><td>" << (known ? std::to_string(clock.uncertainty.count()) + " us" : "")
            << "</td><td>" << to_string(clock.source) << "</td></tr>\n";
    }
    out << "</table>\n";
}

} // namespace

void write_timeline_picture(const merged_timeline& merged, std::ostream& out)
{
    out << "<!DOCTYPE html>\n<html><head><meta charset=\"utf-8\"><title>dragonflymill time line</title>\n"
           "<style>body{font-family:sans-serif}td,th{padding:0 1em;text-align:left;font-size:12px}</style>"
           "</head><body>\n<p>A band for each process, a bar for each request in it, a tick for each step, a "
           "line for each message. Point at a bar or a tick to read it.</p>\n";
    svg_writer writer(merged, out);
    writer.draw();
    if (writer.omitted() > 0) {
        out << "<p>" << writer.omitted()
            << " steps and messages are not drawn; the trace-event file has them."
            << "</p>\n";
    }
    write_clocks(merged, out);
    out << "</body></html>\n";
}

} // namespace dragonflymill
