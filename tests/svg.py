"""A small writer of plots: points with their range and a fitted line."""

from html import escape

WIDTH, HEIGHT = 560, 340
LEFT, RIGHT, TOP, BOTTOM = 80, 20, 40, 50


def nice_ticks(top, count=5):
    """Round steps from 0 up to at least TOP."""
    raw = max(top, 1e-9) / count
    power = 1.0
    while power * 10 <= raw:
        power *= 10
    while power > raw:
        power /= 10
    step = next(power * m for m in (1, 2, 2.5, 5, 10) if power * m >= raw)
    return [step * i for i in range(int(top / step + 0.999) + 1)]


def plot(title, x_label, y_label, points, fit):
    """POINTS: dicts x, value, low, high; FIT: dict slope, intercept."""
    xs = nice_ticks(max(p["x"] for p in points))
    ys = nice_ticks(max(max(p["high"] for p in points), 1e-9))

    def at_x(x):
        return LEFT + (WIDTH - LEFT - RIGHT) * x / xs[-1]

    def at_y(y):
        return HEIGHT - BOTTOM - (HEIGHT - TOP - BOTTOM) * y / ys[-1]

    out = ['<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" '
           'font-family="sans-serif" font-size="12">' % (WIDTH, HEIGHT),
           '<rect width="100%" height="100%" fill="white"/>',
           '<text x="%d" y="20" font-size="14">%s</text>' % (
               LEFT, escape(title))]
    for x in xs:
        out.append('<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="#ddd"/>'
                   '<text x="%.1f" y="%d" text-anchor="middle">%g</text>' % (
                       at_x(x), TOP, at_x(x), HEIGHT - BOTTOM, at_x(x),
                       HEIGHT - BOTTOM + 16, x))
    for y in ys:
        out.append('<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#ddd"/>'
                   '<text x="%d" y="%.1f" text-anchor="end">%g</text>' % (
                       LEFT, at_y(y), WIDTH - RIGHT, at_y(y), LEFT - 6,
                       at_y(y) + 4, y))
    out.append('<text x="%d" y="%d" text-anchor="middle">%s</text>' % (
        (LEFT + WIDTH - RIGHT) / 2, HEIGHT - 12, escape(x_label)))
    out.append('<text transform="translate(16 %d) rotate(-90)" '
               'text-anchor="middle">%s</text>' % (
                   (TOP + HEIGHT - BOTTOM) / 2, escape(y_label)))
    ends = [min(max(fit["intercept"] + fit["slope"] * x, 0), ys[-1])
            for x in (0, xs[-1])]
    out.append('<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" '
               'stroke="#06c" stroke-dasharray="5 3"/>' % (
                   at_x(0), at_y(ends[0]), at_x(xs[-1]), at_y(ends[1])))
    for p in points:
        out.append('<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" '
                   'stroke="#c30"/><circle cx="%.1f" cy="%.1f" r="4" '
                   'fill="#c30"/>' % (
                       at_x(p["x"]), at_y(p["low"]), at_x(p["x"]),
                       at_y(p["high"]), at_x(p["x"]), at_y(p["value"])))
    out.append("</svg>\n")
    return "\n".join(out)
