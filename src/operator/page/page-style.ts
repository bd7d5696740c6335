/** The page's style sheet: a grid on wide screens, one card per row on narrow ones. */
export const PAGE_STYLE = `
:root {
  color-scheme: light dark;
  --ink: #17202a; --paper: #ffffff; --soft: #f3f5f8; --line: #cfd6df; --muted: #536070;
  --accent: #0b5cad; --accent-ink: #ffffff; --bad: #a4161a; --bad-soft: #fdecec;
  --good: #146c43; --good-soft: #e6f4ec; --warn: #7a4b00; --warn-soft: #fff4dd;
}
@media (prefers-color-scheme: dark) {
  :root {
    --ink: #e6eaf0; --paper: #14181d; --soft: #1d232b; --line: #3a4451; --muted: #a2aebc;
    --accent: #6cb2f5; --accent-ink: #0b1117; --bad: #ff9a9a; --bad-soft: #3b1a1c;
    --good: #7bd7a5; --good-soft: #14301f; --warn: #f3c46b; --warn-soft: #36290f;
  }
}
* { box-sizing: border-box; }
body { margin: 0; font: 15px/1.45 system-ui, sans-serif; color: var(--ink); background: var(--paper); }
main, footer, .top { padding: 0 1.25rem; }
main { padding-bottom: 2rem; }
h1 { font-size: 1.5rem; margin: 1.1rem 0 .8rem; }
h2 { font-size: 1.1rem; margin: 1.4rem 0 .5rem; }
h3 { font-size: 1rem; margin: 0 0 .5rem; }
a { color: var(--accent); }
small, .hint, footer { color: var(--muted); }
.skip { position: absolute; left: -99rem; }
.skip:focus { left: .5rem; top: .5rem; background: var(--paper); padding: .5rem; z-index: 9; }
:focus-visible { outline: 3px solid var(--accent); outline-offset: 1px; }
.top { display: flex; flex-wrap: wrap; gap: .4rem 1.25rem; align-items: center;
  background: var(--soft); border-bottom: 1px solid var(--line); }
.brand { font-weight: 700; margin: .6rem 0; }
.top ul, .tabs { display: flex; flex-wrap: wrap; gap: .25rem; list-style: none; margin: 0; padding: 0; }
.top a, .tabs a { display: block; padding: .5rem .7rem; border-radius: .3rem; text-decoration: none; }
.top a[aria-current], .tabs a[aria-current] { background: var(--accent); color: var(--accent-ink); }
.who { margin-left: auto; display: flex; gap: .6rem; align-items: center; }
.tools { display: flex; flex-wrap: wrap; gap: .5rem 1rem; align-items: center; margin: 0 0 .8rem; }
.filter { display: flex; flex-wrap: wrap; gap: .4rem; align-items: center; }
main > .filter, main > nav .tabs { margin-bottom: .9rem; }
input, select, button, .button { font: inherit; color: inherit; background: var(--paper);
  border: 1px solid var(--line); border-radius: .3rem; padding: .35rem .5rem; min-height: 2.2rem; }
input[type='checkbox'], input[type='radio'] { min-height: 0; width: 1.15rem; height: 1.15rem; vertical-align: -.2rem; }
button, .button { cursor: pointer; text-decoration: none; display: inline-block; background: var(--soft); }
.main { background: var(--accent); border-color: var(--accent); color: var(--accent-ink); font-weight: 600; }
.quiet { background: transparent; }
.card { border: 1px solid var(--line); border-radius: .4rem; padding: 1rem; margin: 0 0 1rem; max-width: 46rem; }
.card > label, .card > form > label { display: block; margin: .6rem 0 .2rem; }
.card > .main, .card > form > .main { margin-top: .9rem; }
.card input:not([type='radio']) { width: 100%; max-width: 30rem; display: block; }
.narrow { max-width: 26rem; }
.shares { margin: .2rem 0; padding-left: 1.2rem; }
.notice { border-left: 4px solid var(--accent); background: var(--soft); padding: .6rem .9rem; margin: 0 0 1rem; }
.notice h2 { margin: 0 0 .3rem; }
.notice.error { border-color: var(--bad); background: var(--bad-soft); }
.notice.warning { border-color: var(--warn); background: var(--warn-soft); }
.notice.good { border-color: var(--good); background: var(--good-soft); }
.findings { margin: 0; padding-left: 1.2rem; overflow-wrap: anywhere; }
.scroll { overflow: auto; max-height: 70vh; border: 1px solid var(--line); border-radius: .4rem; }
table { border-collapse: collapse; }
th, td { border-bottom: 1px solid var(--line); padding: .4rem .6rem; text-align: left; vertical-align: top; }
.plain { border: 1px solid var(--line); }
.plain thead th, .sheet thead th { background: var(--soft); white-space: nowrap; }
.plain th[scope='row'] { font-weight: 600; overflow-wrap: anywhere; }
.plain .number { text-align: right; font-variant-numeric: tabular-nums; }
.plain td { overflow-wrap: anywhere; }
td.good { color: var(--good); } td.bad { color: var(--bad); }
.sheet { min-width: 100%; }
.sheet thead th { position: sticky; top: 0; z-index: 2; }
.sheet td { white-space: nowrap; padding: .25rem .4rem; border-right: 1px solid var(--line); background: var(--paper); }
.sheet tbody td:first-child, .sheet thead th:first-child { position: sticky; left: 0; z-index: 1; }
.sheet thead th:first-child { z-index: 3; }
.sheet tbody td:first-child { font-weight: 600; box-shadow: 1px 0 0 var(--line); }
.sheet tbody td > span { display: inline-block; padding: .4rem .2rem; }
.sheet input { width: 7rem; } .sheet input.number { width: 6rem; } .sheet input.services { width: 14rem; }
.sheet input[type='checkbox'] { width: 1.15rem; }
.sheet td.invalid { background: var(--bad-soft); }
.sheet td.invalid input, .sheet td.invalid select { border: 2px solid var(--bad); }
.cell-findings { list-style: none; margin: .25rem 0 0; padding: 0; color: var(--bad); font-size: .85rem;
  white-space: normal; max-width: 14rem; }
.save { display: flex; flex-wrap: wrap; gap: .5rem; align-items: center; margin: .8rem 0; }
.save input { flex: 1 1 16rem; max-width: 34rem; }
.paging { display: flex; flex-wrap: wrap; gap: .3rem 1rem; margin: .6rem 0; }
fieldset label { display: block; padding: .35rem 0; }
.empty { color: var(--muted); }
dt { font-weight: 600; margin-top: .5rem; } dd { margin: 0; max-width: 60rem; }
@media (max-width: 46rem) {
  main, footer, .top { padding-left: .8rem; padding-right: .8rem; }
  .who { margin: 0 0 .5rem; width: 100%; justify-content: space-between; }
  .scroll { max-height: none; border: 0; overflow: visible; }
  table, tbody, tr { display: block; width: 100%; }
  thead { position: absolute; width: 1px; height: 1px; overflow: hidden; clip-path: inset(50%); }
  .sheet thead th, .sheet thead th:first-child { position: static; }
  .plain { border: 0; }
  tr { border: 1px solid var(--line); border-radius: .4rem; margin: 0 0 .8rem; padding: .3rem .6rem; }
  td, th[scope='row'], .sheet td, .sheet tbody td:first-child, .plain .number {
    display: grid; grid-template-columns: 9rem minmax(0, 1fr); gap: .5rem; align-items: center;
    border: 0; padding: .2rem 0; white-space: normal; text-align: left; position: static; box-shadow: none; }
  td::before, th[scope='row']::before { content: attr(data-label); color: var(--muted); font-weight: 400; }
  td > *, th > * { grid-column: 2; min-width: 0; }
  td > small { grid-column: 2; }
  .sheet input, .sheet input.number, .sheet input.services, .sheet select { width: 100%; }
  .sheet input[type='checkbox'] { width: 1.4rem; height: 1.4rem; }
  .save { position: sticky; bottom: 0; background: var(--paper); padding: .6rem 0; border-top: 1px solid var(--line); }
}
`;
