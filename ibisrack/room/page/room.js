"use strict";

// The server answers each poll from memory.
const POLL_MS = 1000;
const DISCONNECTED_AFTER_MS = 5000;
const MAX_STRAGGLERS = 7;
const MAX_RANKS = 8;
const MAX_RULES = 12;
const MAX_FAULTS = 3;
const COMPACT_ABOVE_ZONES = 6; // More zones are shown without their age, unless they are stale.
const LOW_PERCENT = 95; // Bound of the design page for the share that a rank keeps while another one floods.

let lastAnswerAt = null;

function element(tag, className, text) {
  const node = document.createElement(tag);
  if (className) node.className = className;
  if (text !== undefined) node.textContent = text;
  return node;
}

function fill(id, children) {
  document.getElementById(id).replaceChildren(...children);
}

function setText(id, text) {
  document.getElementById(id).textContent = text;
}

function seconds(age) {
  return age === null ? "never" : `${Math.round(age)} s ago`;
}

function showBanner(kind, mark, state, counts) {
  document.getElementById("banner").className = kind;
  setText("mark", mark);
  setText("state", state);
  setText("counts", counts);
}

function banner(view) {
  if (!view.accepted_revision) {
    showBanner("unknown", "?", "UNKNOWN", "no node has reported a version");
    return;
  }
  const counts = `${view.on_accepted} of ${view.total} nodes on it`;
  const complete = view.on_accepted === view.total;
  const state = `VERSION ${view.accepted_revision} ${complete ? "ON ALL NODES" : "NOT ON ALL"}`;
  const leaving = view.leaving ? `, ${view.leaving} more left as planned` : "";
  showBanner(complete ? "good" : "bad", complete ? "\u2713" : "\u2717", state, counts + leaving);
}

function notes(view) {
  const boxes = view.problems.map((text) => element("div", "note", `\u25b2 ${text}`));
  if (view.refused) {
    const head = `\u2717 NEWER VERSION REFUSED by at least ${view.refused.node_count} nodes, version ${view.accepted_revision} stays in force`;
    const box = element("div", "note refusal", head);
    for (const fault of view.refused.faults.slice(0, MAX_FAULTS)) box.append(element("div", "", fault));
    const more = view.refused.faults.length - MAX_FAULTS;
    if (more > 0) box.append(element("div", "", `and ${more} more faults`));
    boxes.unshift(box);
  }
  return boxes;
}

function zone(item) {
  const complete = item.on_accepted === item.total && !item.stale;
  const box = element("div", `zone${complete ? "" : " short"}${item.stale ? " stale" : ""}`);
  box.append(element("div", "name", `${complete ? "\u2713" : "\u2717"} ${item.zone}`));
  box.append(element("div", "big", `${item.on_accepted} of ${item.total}`));
  const age = item.age_s === null ? "no data" : `${Math.ceil(item.age_s)} s old`;
  box.append(element("div", "rest", item.stale ? `OUT OF DATE, ${age}` : age));
  return box;
}

function straggler(item) {
  const box = element("div", "straggler");
  const who = element("div", "who");
  who.append(element("span", "cause", item.cause), item.node_id);
  const last = item.revision ? `, last known on ${item.revision}` : "";
  box.append(who, element("div", "detail", `${item.zone}${last}; ${item.detail}`));
  return box;
}

function stragglers(view, limit) {
  if (!view.accepted_revision) return [element("div", "none", "? unknown")];
  if (!view.straggler_count) return [element("div", "none", "\u2713 none")];
  const shown = view.stragglers.slice(0, limit).map(straggler);
  const rest = view.straggler_count - shown.length;
  if (rest > 0) shown.push(element("div", "none", `and ${rest} more`));
  return shown;
}

function row(tag, cells, className) {
  const node = element("tr", className);
  for (const [text, kind] of cells) node.append(element(tag, kind, text));
  return node;
}

function more(count, shown, columns) {
  if (count <= shown) return [];
  const cell = element("td", "", `and ${count - shown} more`);
  cell.colSpan = columns;
  const node = element("tr");
  node.append(cell);
  return [node];
}

function rankRow(item) {
  const low = item.kept_percent !== null && item.kept_percent < LOW_PERCENT;
  const kept = item.kept_percent === null ? "no calls" : `${low ? "\u25bc LOW " : ""}${item.kept_percent.toFixed(1)}%`;
  const cells = [
    [item.service, ""], [item.rank, "strong"], [`${item.share_percent}%`, "number"],
    [item.demand, "number"], [item.served, "number"], [item.refused, "number"],
    [item.unknown, "number"], [kept, "number strong"],
  ];
  return row("td", cells, low ? "low" : "");
}

function ranks(items, count) {
  const head = [
    ["service", ""], ["rank", ""], ["share set", "number"], ["demand", "number"],
    ["served", "number"], ["refused", "number"], ["unknown", "number"], ["kept", "number"],
  ];
  return [row("th", head), ...items.slice(0, MAX_RANKS).map(rankRow), ...more(count, MAX_RANKS, 8)];
}

function ruleRow(item) {
  const cells = [
    [item.line, "number"], [item.route, "strong"], [item.demand, "number"], [item.served, "number"],
    [item.refused, "number"], [item.unknown, "number"], [`${item.requester}: ${item.reason}`, "why"],
  ];
  return row("td", cells);
}

function rules(items, count, limit) {
  const head = [
    ["line", "number"], ["route", ""], ["demand", "number"], ["served", "number"],
    ["refused", "number"], ["unknown", "number"], ["asked by, and why", ""],
  ];
  return [row("th", head), ...items.slice(0, limit).map(ruleRow), ...more(count, limit, 7)];
}

// Renders as many rows as fit on the screen, at least one, so that omitted rows are counted and not cut off.
function renderFitting(section, maxRows, render) {
  for (let rows = maxRows; rows >= 1; rows -= 1) {
    render(rows);
    const bottom = document.getElementById(section).getBoundingClientRect().bottom;
    if (bottom <= window.innerHeight) return;
  }
}

function show(title, view) {
  document.title = title;
  setText("title", title);
  setText("age-text", view.age_s === null ? "no data" : `data up to ${Math.ceil(view.age_s)} s old`);
  banner(view);
  fill("notes", notes(view));
  document.getElementById("zones").className = view.zones.length > COMPACT_ABOVE_ZONES ? "many" : "";
  fill("zones", view.zones.map(zone));
  setText("straggler-count", view.straggler_count ? `(${view.straggler_count})` : "");
  fill("ranks", ranks(view.ranks, view.rank_count));
  renderFitting("nodes", MAX_STRAGGLERS, (rows) => fill("stragglers", stragglers(view, rows)));
  renderFitting("work", MAX_RULES, (rows) => fill("rules", rules(view.rules, view.rule_count, rows)));
}

function showConnection() {
  const age = lastAnswerAt === null ? Infinity : Date.now() - lastAnswerAt;
  const disconnected = age > DISCONNECTED_AFTER_MS;
  document.body.classList.toggle("lost", disconnected);
  if (!disconnected) return;
  const status = lastAnswerAt === null ? "never reached" : `lost for ${Math.round(age / 1000)} s`;
  showBanner("unknown", "?", "SCREEN OUT OF DATE", `server of this screen: ${status}`);
  setText("age-text", status);
}

async function poll() {
  try {
    const answer = await fetch("view.json", { signal: AbortSignal.timeout(DISCONNECTED_AFTER_MS) });
    if (!answer.ok) throw new Error(`status ${answer.status}`);
    const data = await answer.json();
    lastAnswerAt = Date.now();
    show(data.title, data.view);
  } catch (error) {
    console.warn("cannot show the view", error);
  }
  showConnection();
  setTimeout(poll, POLL_MS);
}

poll();
