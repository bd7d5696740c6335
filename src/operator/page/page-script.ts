/** The page's script; only automatic refresh and the warning about unsaved changes need it. */
export const PAGE_SCRIPT = `'use strict';
const FIGURES_MS = 5000;
const SPREAD_MS = 1000;
const SPREAD_TIMES = 20;

const load = async (element) => {
  const response = await fetch(element.dataset.source, { cache: 'no-store' });
  if (response.ok) {
    element.innerHTML = await response.text();
  }
};

const figures = document.getElementById('figures');
const refresh = document.getElementById('refresh');
if (figures && refresh) {
  setInterval(() => {
    if (refresh.checked && !document.hidden) {
      load(figures).catch(() => undefined);
    }
  }, FIGURES_MS);
}

const spread = document.getElementById('spread');
let loads = 0;
const followSpread = () => {
  loads += 1;
  load(spread).catch(() => undefined);
  if (loads < SPREAD_TIMES) {
    setTimeout(followSpread, SPREAD_MS);
  }
};
if (spread) {
  setTimeout(followSpread, SPREAD_MS);
}

const guarded = document.querySelector('form[data-guard]');
let changed = false;
if (guarded) {
  guarded.addEventListener('input', () => { changed = true; });
  guarded.addEventListener('submit', () => { changed = false; });
  window.addEventListener('beforeunload', (event) => {
    if (changed) {
      event.preventDefault();
    }
  });
}
`;
